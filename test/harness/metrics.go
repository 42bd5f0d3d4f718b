package main

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
)

// metric returns the sum of a metric of the node over all its labels; 0 if the
// node does not answer.
func (i *instance) metric(name string) float64 {
	response, err := adminClient.Get("http://" + i.addr(listenAdmin) + "/metrics")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0
	}
	total := 0.0
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		line := scanner.Text()
		rest, found := strings.CutPrefix(line, name)
		if !found || rest == "" || rest[0] != ' ' && rest[0] != '{' {
			continue
		}
		fields := strings.Fields(line)
		value, err := strconv.ParseFloat(fields[len(fields)-1], 64)
		if err == nil {
			total += value
		}
	}
	return total
}
