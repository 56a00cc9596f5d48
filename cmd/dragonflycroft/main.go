// The dragonflycroft command runs entry hosts and talks to them.
package main

func main() {}
