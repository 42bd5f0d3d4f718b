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

// maxAnswerBytes limits the answer of a node. A list of 5,300 servers takes about 2 MB.
const maxAnswerBytes = 64 << 20

// token returns the bearer token from --token-file or TARRAGON_TOKEN.
func (a *app) token() (string, error) {
	if a.options.TokenFile == "" {
		token := a.getenv("TARRAGON_TOKEN")
		if token == "" {
			return "", codes.Unauthenticated.New("no token is given with --token-file or TARRAGON_TOKEN")
		}
		return token, nil
	}
	data, err := os.ReadFile(a.options.TokenFile)
	if err != nil {
		return "", codes.Unauthenticated.Wrap(err, "the token file cannot be read")
	}
	return strings.TrimSpace(string(data)), nil
}

// call sends a request to the nodes in order until one answers with a result,
// and decodes the answer into result. Every step of the API can be repeated
// safely, so it also tries the next node when a step may have been sent.
func (a *app) call(method, path string, body, result any) error {
	token, err := a.token()
	if err != nil {
		return err
	}
	if len(a.options.Nodes) == 0 {
		return codes.BadCommand.New("no node is given with --node or TARRAGON_NODE")
	}
	var reported error
	for _, node := range a.options.Nodes {
		err = a.callNode(node, method, path, token, body, result)
		if err == nil || !shouldTryNextNode(err) {
			return err
		}
		if reported == nil || errorPriority(err) > errorPriority(reported) {
			reported = err
		}
	}
	return reported
}

// errorPriority ranks the errors of several nodes by their importance for the
// user. A step that may have taken effect ranks highest, then an error answered
// by a node, then a node that did not answer.
func errorPriority(err error) int {
	switch codes.FromError(err).Code.Number {
	case codes.StoreOutcomeUnknown.Number:
		return 2
	case codes.NodeUnreachable.Number:
		return 0
	}
	return 1
}

// shouldTryNextNode reports whether another node may succeed where this one failed.
func shouldTryNextNode(err error) bool {
	switch codes.FromError(err).Code.Number {
	case codes.NodeUnreachable.Number, codes.ViewNotReady.Number, codes.StoreDown.Number, codes.StoreOutcomeUnknown.Number:
		return true
	}
	return false
}

// callNode sends a request to one node and decodes the answer into result.
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
		return transportError(node, method, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return transportError(node, method, err)
	}
	return decodeAnswer(node, response.StatusCode, data, result)
}

// transportError returns the coded error for a call without an answer. The outcome
// of a step is unknown unless the connection could not be opened; a read has no
// effect, so the node only counts as unreachable.
func transportError(node, method string, err error) error {
	var operation *net.OpError
	dialled := errors.As(err, &operation) && operation.Op == "dial"
	if method == http.MethodGet || dialled {
		return codes.NodeUnreachable.Wrap(err, "node %s", node)
	}
	return codes.StoreOutcomeUnknown.Wrap(err, "node %s did not answer the step", node)
}

// baseURL returns the URL of a node from its address, which may lack "http://".
func baseURL(node string) string {
	if !strings.Contains(node, "://") {
		node = "http://" + node
	}
	return strings.TrimSuffix(node, "/")
}

// decodeAnswer decodes a successful answer into result. Any other answer becomes
// a coded error, also if this program does not know its code.
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
