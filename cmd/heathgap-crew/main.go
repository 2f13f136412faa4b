// Command heathgap-crew is a sidecar that is a member of a crew, and a keeper of it where its operator's file says so.
// bin/heathgap-cli starts it in the place of bin/heathgap when the operator's file has a table [crew]: the agreement's
// libraries would cost a sidecar without a crew 3 MB.
package main

import (
	"os"

	"heathgap/internal/cluster/member"
)

func main() { os.Exit(member.Process()) }
