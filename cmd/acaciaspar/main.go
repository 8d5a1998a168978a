// Command acaciaspar is the router of the fleet and the operators' tool.
package main

func main() {}
