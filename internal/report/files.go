package report

import (
	"os"

	"github.com/gravitational/trace"
)

// ReadAttemptFile adds the attempts of a CSV file. Errors name the file and line.
func (c *Comparison) ReadAttemptFile(name string) error {
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

// ReadRecordFile adds the record of a server, a file of JSON lines. Errors name the
// file and line; a torn last line is counted.
func (c *Comparison) ReadRecordFile(name string) error {
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
		c.TornRecords++
	}
	return nil
}
