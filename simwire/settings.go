package simwire

import (
	"fmt"
	"time"

	"github.com/valyala/fastjson"

	"heathgap/decide"
)

// object reads settings by key and keeps the first error. Absent keys read as
// zero; unknown keys are passed over.
type object struct {
	v    *fastjson.Value
	path string
	err  *error
}

func (o object) fail(key, want string, v *fastjson.Value) {
	if *o.err == nil {
		*o.err = fmt.Errorf("%s%s: want %s, got %s", o.path, key, want, v.Type())
	}
}

func (o object) get(key, want string, t ...fastjson.Type) *fastjson.Value {
	v := o.v.Get(key)
	if v == nil || v.Type() == fastjson.TypeNull {
		return nil
	}
	for _, allowed := range t {
		if v.Type() == allowed {
			return v
		}
	}
	o.fail(key, want, v)
	return nil
}

func (o object) float(key string) float64 {
	v := o.get(key, "a number", fastjson.TypeNumber)
	if v == nil {
		return 0
	}
	return v.GetFloat64()
}

func (o object) duration(key string) time.Duration {
	v := o.get(key, "a number of milliseconds", fastjson.TypeNumber)
	if v == nil {
		return 0
	}
	d, err := toDuration(v, key)
	if err != nil {
		o.fail(key, "a number of milliseconds", v)
	}
	return d
}

func (o object) text(key string) string {
	v := o.get(key, "a string", fastjson.TypeString)
	if v == nil {
		return ""
	}
	return string(v.GetStringBytes())
}

func (o object) boolean(key string) bool {
	v := o.get(key, "true or false", fastjson.TypeTrue, fastjson.TypeFalse)
	return v != nil && v.GetBool()
}

// child returns the object under a key; an absent one reads as empty.
func (o object) child(key string) object {
	v := o.get(key, "an object", fastjson.TypeObject)
	return object{v: v, path: o.path + key + ".", err: o.err}
}

// children returns the objects of the array under a key.
func (o object) children(key string) []object {
	v := o.get(key, "an array", fastjson.TypeArray)
	if v == nil {
		return nil
	}
	var all []object
	for i, item := range v.GetArray() {
		path := fmt.Sprintf("%s%s[%d].", o.path, key, i)
		if item.Type() != fastjson.TypeObject {
			o.fail(fmt.Sprintf("%s[%d]", key, i), "an object", item)
			continue
		}
		all = append(all, object{v: item, path: path, err: o.err})
	}
	return all
}

// word translates a name by a table; an absent name is the table's zero value.
func word[T any](o object, key string, table map[string]T) (t T) {
	name := o.text(key)
	if name == "" {
		return t
	}
	t, ok := table[name]
	if !ok && *o.err == nil {
		*o.err = fmt.Errorf("%s%s: unknown value %q", o.path, key, name)
	}
	return t
}

var effects = map[string]decide.Effect{
	"repeatable": decide.Safe, "by_key": decide.Keyed, "once": decide.Unsafe,
}

var groups = map[string]decide.Group{
	"all": decide.GroupAll, "zone": decide.GroupZone, "cell": decide.GroupCell,
}

// decodeSettings reads the settings an instance is started with.
func decodeSettings(v *fastjson.Value) (decide.Settings, error) {
	if v.Type() != fastjson.TypeObject {
		return decide.Settings{}, fmt.Errorf("want an object, got %s", v.Type())
	}
	var err error
	o := object{v: v, err: &err}
	weights := o.text("weights")
	tiers := len(v.GetArray("stages"))
	s := decide.Settings{
		Number:         int(o.float("me")),
		Peers:          int(o.float("replicas_of_me")),
		Zone:           o.text("az"),
		OverShareWorth: o.float("over_share_worth"),
		MustAsk:        o.text("membership_mode") == "subscribe",
		WeightKnown:    weights == "nominal" || weights == "rough",
		HintsWork:      o.text("worth_by") == "work",
		Front:          o.float("tier") == 0,
		Depth:          max(0, tiers-1-int(o.float("tier"))),
		Tick:           o.duration("tick"),
	}
	decodeLimits(o.child("bounds"), &s.Limits)
	decodeRules(o.child("rules"), &s.Rules)
	prices := o.child("deductions")
	s.Prices.CrossZone = prices.float("cross_zone")
	s.Prices.Waste = prices.float("waste")
	s.Prices.LateFail = prices.float("late_fail")
	for _, c := range o.children("profiles") {
		s.Classes = append(s.Classes, decodeClass(c))
	}
	for _, t := range o.children("parties") {
		s.Tenants = append(s.Tenants, decide.Tenant{
			Name: t.text("name"), Allowed: t.float("allowance_per_s"), Portion: t.float("portion"),
		})
	}
	return s, err
}

func decodeLimits(o object, l *decide.Limits) {
	l.Cancel = o.boolean("cancel")
	l.SecondCopies = o.boolean("second_copies")
	l.RetryAfter = o.boolean("retry_after")
	l.Probing = o.boolean("probing")
	l.MaxAttempts = int(o.float("max_attempts"))
	l.MaxRetryAfter = o.duration("max_retry_after")
}

func decodeRules(o object, r *decide.Rules) {
	r.AnswerSlack = o.duration("answer_slack")
	r.AskEvery = o.duration("ask_every")
	r.ColdShare = o.float("cold_from")
	r.ColdTime = o.duration("cold")
	r.FallMultiple = o.float("fall_multiple")
	r.FallWindow = o.duration("overload_for")
	r.DrainGrace = o.duration("drain_grace")
}

func decodeClass(o object) decide.Class {
	return decide.Class{
		Name:      o.text("name"),
		Aim:       o.duration("aim"),
		Deadline:  o.duration("deadline"),
		Worth:     o.float("worth"),
		LateShare: o.float("late_share"),
		Effect:    word(o, "effect", effects),
		Group:     word(o, "group", groups),
		Window:    o.duration("window"),
		Stream:    o.boolean("stream"),
	}
}
