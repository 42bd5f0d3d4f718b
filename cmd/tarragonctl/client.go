package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"

	"github.com/tarragonford/tarragonford/api"
	"github.com/tarragonford/tarragonford/internal/codes"
)

// maxAnswerBytes bounds the answer of a node; 5,300 servers take about 2 MB.
const maxAnswerBytes = 64 << 20

// token returns the bearer token from --token-file or TARRAGON_TOKEN.
func (a *app) token() (string, error) {
	if a.options.TokenFile == "" {
		token := a.getenv("TARRAGON_TOKEN")
		if token == "" {
			return "", codes.Unauthenticated.New("no token is given")
		}
		return token, nil
	}
	data, err := os.ReadFile(a.options.TokenFile)
	if err != nil {
		return "", codes.Unauthenticated.Wrap(err, "the token file cannot be read")
	}
	return strings.TrimSpace(string(data)), nil
}

// call sends a request to the nodes in turn until one answers with a result.
// Every step of the API can be repeated safely, so a node that did not answer
// is no reason to stop. The answer is decoded into result.
func (a *app) call(method, path string, body, result any) error {
	token, err := a.token()
	if err != nil {
		return err
	}
	if len(a.options.Nodes) == 0 {
		return codes.BadCommand.New("no node is given with --node or TARRAGON_NODE")
	}
	var worst error
	for _, node := range a.options.Nodes {
		err = a.callNode(node, method, path, token, body, result)
		if err == nil || !mayTryNext(err) {
			return err
		}
		if worst == nil || rank(err) > rank(worst) {
			worst = err
		}
	}
	return worst
}

// rank orders the failures of several nodes by what the user must know: a step
// that may have taken effect first, then what a node answered, then nodes that
// did not answer.
func rank(err error) int {
	switch codes.Of(err).Code.Number {
	case codes.StoreOutcomeUnknown.Number:
		return 2
	case codes.NodeUnreachable.Number:
		return 0
	}
	return 1
}

// mayTryNext reports whether another node may do what this one could not.
func mayTryNext(err error) bool {
	switch codes.Of(err).Code.Number {
	case codes.NodeUnreachable.Number, codes.ViewNotReady.Number, codes.StoreDown.Number, codes.StoreOutcomeUnknown.Number:
		return true
	}
	return false
}

func (a *app) callNode(node, method, path, token string, body, result any) error {
	ctx, cancel := context.WithTimeout(context.Background(), a.options.Timeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return codes.BadCommand.Wrap(err, "the request cannot be encoded")
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, baseURL(node)+path, reader)
	if err != nil {
		return codes.BadCommand.Wrap(err, "the address %s is malformed", node)
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return unreachable(node, method, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return unreachable(node, method, err)
	}
	return decodeAnswer(node, response.StatusCode, data, result)
}

// unreachable codes a failed call: a step that may have been sent has an
// unknown outcome, every other call has none.
func unreachable(node, method string, err error) error {
	var operation *net.OpError
	dialled := errors.As(err, &operation) && operation.Op == "dial"
	if method == http.MethodGet || dialled {
		return codes.NodeUnreachable.Wrap(err, "node %s", node)
	}
	return codes.StoreOutcomeUnknown.Wrap(err, "node %s did not answer the step", node)
}

// baseURL accepts an address with or without "http://".
func baseURL(node string) string {
	if !strings.Contains(node, "://") {
		node = "http://" + node
	}
	return strings.TrimSuffix(node, "/")
}

func decodeAnswer(node string, status int, data []byte, result any) error {
	if status < 300 {
		if err := json.Unmarshal(data, result); err != nil {
			return codes.Internal.Wrap(err, "node %s sent a malformed answer", node)
		}
		return nil
	}
	var problem api.Problem
	if err := json.Unmarshal(data, &problem); err != nil || problem.Code == 0 {
		return codes.NodeUnreachable.New("%s answered with status %d and no result code; is it the admin address of a node?", node, status)
	}
	code, known := codes.ByNumber(problem.Code)
	if !known {
		code = codes.Code{Number: problem.Code, Name: problem.Title, Outcome: codes.Outcome(problem.Outcome), Action: problem.Action}
	}
	return code.New("%s", problem.Detail)
}

// intentPath returns the path of an intent or of one of its steps.
func intentPath(id string, step ...string) string {
	return fmt.Sprintf("%s/%s", api.PathIntents, strings.Join(append([]string{id}, step...), "/"))
}
