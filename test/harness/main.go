// Command harness starts the binaries of this repository as separate processes
// with small stand-ins around them, and drives them for demonstrations, fault
// runs and measurements. It is test code and is not shipped.
package main

import (
	"fmt"
	"os"
	"time"
)

func main() {
	d, err := findDeployment("trust")
	if err != nil {
		panic(err)
	}
	f, err := newFleet(d, "run/try")
	if err != nil {
		panic(err)
	}
	defer f.stop()
	begin := time.Now()
	if err := f.start(); err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("ready after", time.Since(begin))
	for _, i := range f.instances {
		fmt.Println(i.id, i.addr(listenCaller), i.addr(listenAdmin))
	}
	if len(os.Args) > 1 {
		time.Sleep(30 * time.Second)
	}
}
