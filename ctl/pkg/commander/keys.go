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
	*cli `no-flag:"true"`

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
	err = c.submit(batch, c.Wait)
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
	*cli `no-flag:"true"`

	Arguments struct {
		ID string `positional-arg-name:"ID" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander. A withdrawal commutes with every other change. So it is first sent to each control
// process directly, which applies it without the leader, and processes that were not reached are printed. Then it is
// added to the configuration as a change.
func (c *keysWithdraw) Execute([]string) error {
	api, err := c.client()
	if err != nil {
		return err
	}
	failed, err := c.withdrawEverywhere(api)
	if err != nil {
		return err
	}
	record := configurer.NewRecord(configurer.WithdrawKey{ID: c.Arguments.ID})
	err = c.submit(client.Batch{Operation: uuid.NewString(), Changes: []configurer.Record{record}}, false)
	var refusal *client.Refusal
	switch {
	case errors.As(err, &refusal) && !refusal.Kind.Answer().Retryable:
		return err
	case err != nil:
		err = errors.CombineErrors(errors.New("withdrawn, but not part of the configuration yet; run the command again"), err)
		return errors.Mark(err, errNotInForce)
	case failed > 0:
		return errors.Wrapf(errNotInForce, "%d control processes were not reached: the key may work on nodes that can reach only them", failed)
	default:
		return nil
	}
}

// withdrawEverywhere sends the withdrawal to every control process, prints the result of each, and returns the number of
// those that did not apply it. It fails if none applied it.
func (c *keysWithdraw) withdrawEverywhere(api *client.Client) (int, error) {
	var results []client.Result[struct{}]
	err := c.withProgress("withdrawing", func() error {
		var err error
		results, err = api.Withdraw(c.ctx, client.Withdrawal{Keys: []string{c.Arguments.ID}})
		return err
	})
	failed := 0
	for _, result := range results {
		if result.Err == nil {
			err = errors.CombineErrors(err, c.print("%s: withdrawn\n", result.Address))
			continue
		}
		failed++
		err = errors.CombineErrors(err, c.print("%s: not reached: %v\n", result.Address, result.Err))
	}
	if err == nil && failed == len(results) {
		return failed, errors.New("no control process applied the withdrawal: the key may still work everywhere; run the command again")
	}
	return failed, err
}
