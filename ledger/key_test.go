package ledger

import (
	"errors"
	"math"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/gypsumrail/gypsumrail"
)

const (
	tail  = ":000000000000004d:0000012c:" + hex32
	hex32 = "0123456789abcdef0123456789abcdef"
)

// Fails if ParseKey accepts text that is not the one text form of a key. The ledger
// could then see another key than the caller sent, or a key could have two text
// forms.
func TestParseKeyRefuses(t *testing.T) {
	tests := []struct{ name, text string }{
		{"empty", ""},
		{"no home", tail},
		{"home too long", strings.Repeat("a", HomeMax+1) + tail},
		{"separator in home", "a:b" + tail},
		{"space in home", "a b" + tail},
		{"newline in home", "a\n" + tail},
		{"byte above ASCII in home", "a\xc3\xa9" + tail},
		{"uppercase nonce", "a" + strings.ToUpper(tail)},
		{"short nonce", "a" + tail[:len(tail)-1]},
		{"sign in epoch", strings.Replace("a"+tail, ":0000012c", ":+000012c", 1)},
		{"zero incarnation", strings.Replace("a"+tail, "4d", "00", 1)},
		{"separator missing", strings.Replace("a"+tail, ":0000012c", "00000012c", 1)},
		{"no hexadecimal nonce", strings.Replace("a"+tail, "0123", "012g", 1)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got, err := ParseKey(test.text); !errors.Is(err, ErrKey) {
				t.Errorf("ParseKey(%q) = %+v, %v; want ErrKey", test.text, got, err)
			}
		})
	}
}

// Fails if FormatKey returns a text for an invalid key. No node would accept it.
func TestFormatKeyRefuses(t *testing.T) {
	good := key(3, 4)
	tests := []struct {
		name   string
		change func(*gypsumrail.Key)
	}{
		{"no home", func(k *gypsumrail.Key) { k.Home = "" }},
		{"long home", func(k *gypsumrail.Key) { k.Home = strings.Repeat("a", HomeMax+1) }},
		{"bad home", func(k *gypsumrail.Key) { k.Home = "a:b" }},
		{"no incarnation", func(k *gypsumrail.Key) { k.Incarnation = 0 }},
		{"bad nonce", func(k *gypsumrail.Key) { k.Nonce = "12" }},
	}
	if FormatKey(good) == "" {
		t.Fatal("FormatKey rejects a valid key")
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bad := good
			test.change(&bad)
			if text := FormatKey(bad); text != "" {
				t.Errorf("FormatKey of an invalid key is %q, want the empty string", text)
			}
		})
	}
}

// Fails if a text of a caller makes ParseKey panic, or if a key that it accepts has
// a second text form.
func FuzzParseKey(f *testing.F) {
	for _, seed := range []string{
		"a" + tail, "lotdesk-1.zone_b" + tail, strings.Repeat("z", HomeMax) + tail, strings.Repeat("z", HomeMax+1) + tail,
		"", tail, "a:b" + tail, "a" + strings.ToUpper(tail), ":::", strings.Repeat(":", 60), "a\x00" + tail, strings.Repeat("\xff", 70),
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		k, err := ParseKey(text)
		if err != nil {
			if !errors.Is(err, ErrKey) || k != (gypsumrail.Key{}) {
				t.Errorf("key %+v with error %v", k, err)
			}
			return
		}
		if diff := cmp.Diff(text, FormatKey(k)); diff != "" {
			t.Errorf("one key has two text forms (-parsed +formatted): %s", diff)
		}
	})
}

// Fails if a time before the origin or at the maximum overflows the epoch. An
// overflow would reopen closed epochs.
func TestEndsOfTheClock(t *testing.T) {
	l := New(self, Settings{EntriesMax: 1})
	if got := l.Epoch(math.MinInt64); got != 0 {
		t.Errorf("epoch %d at the lowest time, want 0", got)
	}
	if got := l.Epoch(math.MaxInt64); got != math.MaxUint32 {
		t.Errorf("epoch %d at the highest time, want %d", got, uint32(math.MaxUint32))
	}
	if got := l.Start(0, key(math.MaxUint32, 1), 1); got != gypsumrail.VerdictStart {
		t.Errorf("verdict %s in the last epoch, want Start", got)
	}
	if got := l.Start(0, key(math.MaxUint32, 2), 1); got != gypsumrail.VerdictFull {
		t.Errorf("verdict %s at the bound in the last epoch, want Full", got)
	}
}
