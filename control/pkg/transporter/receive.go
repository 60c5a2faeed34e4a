package transporter

import (
	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"samphiremount.example/core/messenger"
)

const maxBatchBytes = 256 << 20

// Register adds the handlers of calls from other control processes to mux.
func (t *Transporter) Register(mux messenger.Mux) {
	mux[callReplicate] = t.receiveMessages
	mux[callIntroduce] = t.receiveIntroduction
}

func (t *Transporter) receiveMessages(stream drpc.Stream) error {
	var buf []byte
	var last endpoints
	for {
		var chunk chunkMessage
		if err := stream.MsgRecv(&chunk, messenger.Encoding{}); err != nil {
			return errors.Wrap(err, "receive messages")
		}
		if len(buf)+len(chunk.Data) > maxBatchBytes {
			return errors.Newf("batch of messages too large: more than %d bytes", maxBatchBytes)
		}
		buf = append(buf, chunk.Data...)
		if chunk.Last {
			if err := t.deliver(stream, buf, &last); err != nil {
				return err
			}
			buf = nil
		}
		if err := stream.MsgSend(&ackMessage{Expands: true}, messenger.Encoding{}); err != nil {
			return errors.Wrap(err, "send acknowledgement")
		}
	}
}

func (t *Transporter) deliver(stream drpc.Stream, buf []byte, last *endpoints) error {
	var batch batchMessage
	if err := messenger.Unmarshal(buf, &batch); err != nil {
		return err
	}
	if batch.Sender != nil {
		t.handler.RecordSender(*batch.Sender)
	}
	for _, wire := range batch.Messages {
		last.expand(&wire)
		message, err := wire.message()
		if err != nil {
			return err
		}
		select {
		case t.inbox <- message:
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
	return nil
}

func (t *Transporter) receiveIntroduction(stream drpc.Stream) error {
	var request introductionMessage
	if err := stream.MsgRecv(&request, messenger.Encoding{}); err != nil {
		return errors.Wrap(err, "receive introduction")
	}
	reply := newIntroductionMessage(t.handler.HandleIntroduction(request.introduction()))
	return errors.Wrap(stream.MsgSend(&reply, messenger.Encoding{}), "send introduction")
}
