package commander

import (
	"crypto/rand"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/keyer"
	"samphiremount.example/ctl/pkg/client"
)

type keysIssue struct {
	*tool `no-flag:"true"`

	Workspace string `long:"workspace" required:"yes" description:"Workspace that requests with the key run for"`
	Wait      bool   `long:"wait" description:"Wait until the key is in force on all nodes"`
}

// Execute implements flags.Commander.
func (c *keysIssue) Execute([]string) error {
	key, err := keyer.New(rand.Reader)
	if err != nil {
		return err
	}
	record := configurer.NewRecord(configurer.IssueKey{
		Key: configurer.Key{ID: key.ID, Workspace: c.Workspace, Digest: key.Digest()},
	})
	batch := client.Batch{Operation: uuid.NewString(), Changes: []configurer.Record{record}}
	err = c.change(batch, c.Wait)
	var refusal *client.Refusal
	switch {
	case err == nil, errors.Is(err, errNotInForce):
		return errors.CombineErrors(err, c.print("key %s\n%s\n", key.ID, key.Reveal()))
	case errors.As(err, &refusal):
		return err
	default:
		return errors.Wrapf(err, "key %s may be in force though it was not shown; withdraw it", key.ID)
	}
}

type keysWithdraw struct {
	*tool `no-flag:"true"`

	Arguments struct {
		ID string `positional-arg-name:"ID" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander. A withdrawal commutes with every other change, so each control process is asked
// to take it at once, the ones that were not reached are named, and then it is made part of the configuration.
func (c *keysWithdraw) Execute([]string) error {
	caller, err := c.operator()
	if err != nil {
		return err
	}
	missed, err := c.spread(caller)
	if err != nil {
		return err
	}
	record := configurer.NewRecord(configurer.WithdrawKey{ID: c.Arguments.ID})
	err = c.change(client.Batch{Operation: uuid.NewString(), Changes: []configurer.Record{record}}, false)
	var refusal *client.Refusal
	switch {
	case errors.As(err, &refusal) && !refusal.Kind.Answer().Retryable:
		return err
	case err != nil:
		err = errors.CombineErrors(errors.New("withdrawn, but not part of the configuration yet; send it again"), err)
		return errors.Mark(err, errNotInForce)
	case missed > 0:
		return errors.Wrapf(errNotInForce, "%d control processes were not reached: the key may work where only they are heard", missed)
	default:
		return nil
	}
}

// spread returns the number of control processes that did not take the withdrawal. It fails if none took it.
func (c *keysWithdraw) spread(caller *client.Client) (int, error) {
	var results []client.Result[struct{}]
	err := c.watch("withdrawing", func() error {
		var err error
		results, err = caller.Withdraw(c.ctx, client.Withdrawal{Keys: []string{c.Arguments.ID}})
		return err
	})
	missed := 0
	for _, result := range results {
		if result.Err == nil {
			err = errors.CombineErrors(err, c.print("%s: withdrawn\n", result.Address))
			continue
		}
		missed++
		err = errors.CombineErrors(err, c.print("%s: not reached: %v\n", result.Address, result.Err))
	}
	if err == nil && missed == len(results) {
		return missed, errors.New("no control process took the withdrawal: the key may still work everywhere; send it again")
	}
	return missed, err
}
