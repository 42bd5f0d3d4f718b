package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"

	"github.com/gravitational/trace"
)

// link is a relay process in front of one address.
type link struct {
	process *process
	addr    string
	control string
}

// startLink puts a relay in front of target.
func (f *fleet) startLink(name, target string) (*link, error) {
	ports, err := freePorts(2)
	if err != nil {
		return nil, err
	}
	l := &link{
		addr:    fmt.Sprintf("127.0.0.1:%d", ports[0]),
		control: fmt.Sprintf("127.0.0.1:%d", ports[1]),
	}
	l.process, err = start(f.dir, "link-"+name, "tarragon-load", "relay",
		"--listen", l.addr, "--target", target, "--control", l.control)
	if err == nil {
		f.links = append(f.links, l)
	}
	return l, err
}

// cut cuts a direction: forward (towards the target), backward, both or none.
func (l *link) cut(direction string) error {
	return post("http://"+l.control+"/cut", fmt.Sprintf(`{"direction":%q}`, direction))
}

// end stops the relay.
func (l *link) end() {
	l.process.signal(syscall.SIGTERM)
	endProcess(l.process)
}

// post sends a JSON body and expects a status of 2xx.
func post(url, body string) error {
	response, err := adminClient.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return trace.BadParameter("%s: %s", url, response.Status)
	}
	return nil
}
