// Command acaciaspar-agent runs beside one endpoint and gives it work.
package main

func main() {}
