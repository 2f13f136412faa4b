// Package settings decodes the settings with which a balancer starts. The simulator and the sidecar are given the same
// JSON object, and this package decodes it for both.
package settings

import (
	"fmt"
	"time"

	"github.com/valyala/fastjson"

	"heathgap/decide"
	"heathgap/internal/jsonread"
)

// Transport is the part of the settings that the decision module does not use: limits of connections and of pending
// requests.
type Transport struct {
	ConnectTimeout time.Duration // opening a connection fails after this time
	IdleTimeout    time.Duration // endpoints close connections that are idle for this long
	MaxPending     int           // requests that an instance may have pending; 0 for no limit
}

var effects = map[string]decide.Effect{
	"repeatable": decide.Safe, "by_key": decide.Keyed, "once": decide.Unsafe,
}

var groups = map[string]decide.Group{
	"all": decide.GroupAll, "zone": decide.GroupZone, "cell": decide.GroupCell,
}

// reportModes are the names for how endpoints report their load. Without a name, they do not report it.
var reportModes = map[string]decide.ReportMode{
	"silent": decide.ReportNever, "piggyback": decide.ReportWithAnswers, "pull": decide.ReportWithProbes,
}

var loadFields = map[string]decide.LoadField{
	"outstanding": decide.Outstanding, "utilization": decide.Utilization,
}

// Decode decodes the settings that an instance is started with.
func Decode(v *fastjson.Value) (decide.Settings, Transport, error) {
	o, err := jsonread.New(v)
	if err != nil {
		return decide.Settings{}, Transport{}, err
	}
	weights := o.Text("weights")
	tier := int(o.Float("tier"))
	s := decide.Settings{
		Number:         int(o.Float("me")),
		Peers:          int(o.Float("replicas_of_me")),
		Zone:           o.Text("az"),
		OverShareWorth: o.Float("over_share_worth"),
		MustPoll:       o.Text("membership_mode") == "subscribe",   // the list comes only when the instance asks for it
		WeightKnown:    weights == "nominal" || weights == "rough", // either way an endpoint's weight is used as its size
		HintsWork:      o.Text("worth_by") == "work",
		Front:          tier == 0,
		Depth:          max(0, len(o.Array("stages"))-1-tier),
		Tick:           o.Duration("tick"),
	}
	bounds := o.Child("bounds")
	decodeLimits(bounds, &s.Limits)
	decodeRules(o.Child("rules"), &s.Rules)
	prices := o.Child("deductions")
	s.Prices.CrossZone = prices.Float("cross_zone")
	s.Prices.Waste = prices.Float("waste")
	s.Prices.LateFail = prices.Float("late_fail")
	s.Prices.Probe = prices.Float("probe")
	decodeReport(o.Child("report"), &s.Report)
	if o.Text("family") == "mesh" {
		s.Entry = decide.PerCaller
	}
	for _, c := range o.Children("profiles") {
		s.Classes = append(s.Classes, decodeClass(c))
	}
	for _, t := range o.Children("parties") {
		s.Tenants = append(s.Tenants, decide.Tenant{
			Name: t.Text("name"), Allowed: t.Float("allowance_per_s"), Portion: t.Float("portion"),
		})
	}
	transport := Transport{
		ConnectTimeout: bounds.Duration("connect_timeout"),
		IdleTimeout:    bounds.Duration("conn_idle"),
		MaxPending:     int(bounds.Float("most_held")),
	}
	return s, transport, o.Err()
}

func decodeLimits(o jsonread.Object, l *decide.Limits) {
	l.Cancel = o.Boolean("cancel")
	l.Hedging = o.Boolean("second_copies")
	l.RetryAfter = o.Boolean("retry_after")
	l.Probing = o.Boolean("probing")
	l.MaxAttempts = int(o.Float("max_attempts"))
	l.MaxRetryAfter = o.Duration("max_retry_after")
}

// decodeReport decodes how endpoints report their load. A field that loadFields does not name becomes OtherField, which the
// decision module ignores.
func decodeReport(o jsonread.Object, r *decide.Report) {
	r.Mode = jsonread.Enum(o, "how", reportModes)
	for i, v := range o.Array("fields") {
		name, err := v.StringBytes()
		if err != nil {
			o.Fail(fmt.Sprintf("fields[%d]", i), "a string", v.Type().String())
		}
		r.Fields = append(r.Fields, loadFields[string(name)])
	}
}

func decodeRules(o jsonread.Object, r *decide.Rules) {
	r.AnswerSlack = o.Duration("answer_slack")
	r.PollEvery = o.Duration("ask_every")
	r.ColdShare = o.Float("cold_from")
	r.ColdTime = o.Duration("cold")
	r.OverloadMultiple = o.Float("fall_multiple")
	r.OverloadWindow = o.Duration("overload_for")
	r.DrainGrace = o.Duration("drain_grace")
	r.RemovalNotBinding = o.Boolean("removal_not_binding")
}

func decodeClass(o jsonread.Object) decide.Class {
	return decide.Class{
		Name:      o.Text("name"),
		Aim:       o.Duration("aim"),
		Deadline:  o.Duration("deadline"),
		Worth:     o.Float("worth"),
		LateShare: o.Float("late_share"),
		Effect:    jsonread.Enum(o, "effect", effects),
		Group:     jsonread.Enum(o, "group", groups),
		Window:    o.Duration("window"),
		Stream:    o.Boolean("stream"),
	}
}
