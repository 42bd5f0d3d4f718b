package report

import (
	"os"

	"github.com/gravitational/trace"
)

// ReadCaller adds the attempts of a CSV file. Errors name the file and line.
func (c *Comparison) ReadCaller(name string) error {
	file, err := os.Open(name)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer file.Close()
	if err := ReadAttempts(file, c.AddAttempt); err != nil {
		return trace.BadParameter("%s: %v", name, err)
	}
	return nil
}

// ReadServer adds the record of a server, a file of JSON lines. Errors name the
// file and line; a torn last line is counted.
func (c *Comparison) ReadServer(name string) error {
	file, err := os.Open(name)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer file.Close()
	torn, err := ReadRecords(file, c.AddRecord)
	if err != nil {
		return trace.BadParameter("%s: %v", name, err)
	}
	if torn {
		c.Torn++
	}
	return nil
}
