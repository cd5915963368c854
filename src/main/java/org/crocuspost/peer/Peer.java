package org.crocuspost.peer;

import java.time.Duration;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.crocuspost.error.Failure;
import org.crocuspost.wire.Frame;

/**
 * One connection to another process of crocuspost. Safe for use by several threads; never
 * blocks.
 */
public interface Peer {

	/**
	 * Returns who is at the other end.
	 * @return the identity that the other end gave in its hello message
	 */
	PeerIdentity identity();

	/**
	 * Sends a frame that expects no answer. A frame that cannot be sent is dropped.
	 * @param frame the frame; its correlation is kept
	 */
	void send(Frame frame);

	/**
	 * Sends a frame and waits for the frame that answers it.
	 * @param frame the frame; its correlation is set by the connection
	 * @param timeout how long to wait for the answer
	 * @return the answer; {@code CONNECTION_LOST} or {@code DEADLINE_AFTER_START} if none
	 * came, {@code NO_ENDPOINT} if the frame was never written
	 */
	CompletionStage<Either<Failure, Frame>> call(Frame frame, Duration timeout);

	/**
	 * Says whether frames can be sent.
	 * @return true until the connection is closed or found silent
	 */
	boolean open();

	/**
	 * Closes the connection. Calls that wait for an answer fail.
	 */
	void close();

}
