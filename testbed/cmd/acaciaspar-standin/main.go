// Command acaciaspar-standin runs a stand-in of one outside system.
package main

func main() {}
