package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

func init() { cases["14"] = requestForTheWholeServer }

// requestForTheWholeServer: clients send OPTIONS with the target "*", for which there is no route.
func requestForTheWholeServer(r *run) error {
	f, c, done, err := smallDeployment(r)
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	target := "/slots/options"
	if r.trouble {
		target = "*"
	}
	for i, n := range f.nodes {
		if err := sendOptions(r, n, target, fmt.Sprintf("opt%013d", i)); err != nil {
			return err
		}
	}
	finish(r, c, done, f.nodes[0].server)
	return nil
}

// sendOptions sends one request on a connection of its own and checks its answer.
func sendOptions(r *run, n *node, target, id string) error {
	conn, err := net.DialTimeout("tcp", n.addr(portOutbound), time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return err
	}
	r.note("sent %s OPTIONS %s to %s", id, target, n.name)
	if _, err := fmt.Fprintf(conn, "OPTIONS %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Timeout-Ms: 5000\r\n\r\n", target, host, id); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodOptions})
	if err != nil {
		r.note("answered %s: %v", id, err)
		return nil
	}
	defer response.Body.Close()
	signature := response.Header.Get("Response-Signature")
	r.note("answered %s %d signature %q", id, response.StatusCode, signature)
	if response.StatusCode/100 == 2 && signature == "" {
		r.violation("MIXED: request %s got %d from %s without a server's signature", id, response.StatusCode, n.name)
	}
	return nil
}
