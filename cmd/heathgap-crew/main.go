// Command heathgap-crew is a sidecar that is a member of a cluster, and a voter if its operator's file makes it one.
// bin/heathgap-cli starts it instead of bin/heathgap when the operator's file has a table [crew]: the raft libraries
// would cost a sidecar outside a cluster 3 MB.
package main

import (
	"os"

	"heathgap/internal/cluster/member"
)

func main() { os.Exit(member.Process()) }
