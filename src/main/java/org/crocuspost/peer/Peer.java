package org.crocuspost.peer;

import java.time.Duration;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.crocuspost.error.Failure;
import org.crocuspost.wire.Frame;

/**
 * Authenticated connection to another process of the deployment. Implementations are
 * thread-safe and never block.
 */
public interface Peer {

	/**
	 * Returns the identity of the process at the other end.
	 * @return the identity from the hello message of the other end
	 */
	PeerIdentity identity();

	/**
	 * Sends a frame without waiting for an answer. A frame that cannot be sent is
	 * dropped.
	 * @param frame the frame; its correlation is kept
	 */
	void send(Frame frame);

	/**
	 * Sends a frame and completes when the answer arrives or the call fails.
	 * @param frame the frame; the connection sets its correlation
	 * @param timeout how long to wait for the answer
	 * @return the answer; {@code CONNECTION_LOST} or {@code DEADLINE_AFTER_START} if none
	 * arrived, {@code NO_ENDPOINT} if the frame was not written
	 */
	CompletionStage<Either<Failure, Frame>> call(Frame frame, Duration timeout);

	/**
	 * Returns whether the connection is open.
	 * @return true until the connection is closed, also because of missed pings
	 */
	boolean open();

	/**
	 * Closes the connection. Calls that wait for an answer fail.
	 */
	void close();

}
