// Command kqctl is the command line of callers and operators.
package main

func main() {}
