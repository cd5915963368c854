package org.crocuspost.gate;

import java.time.Duration;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.crocuspost.error.Failure;
import org.crocuspost.http.HttpAnswer;
import org.crocuspost.http.HttpCall;

/**
 * Sends requests to an endpoint.
 */
public interface EndpointClient extends AutoCloseable {

	/**
	 * Sends a request.
	 * @param requestId the identity of the request, which the endpoint is told
	 * @param call the request
	 * @param limit how long to wait; the connection is then closed and never used again
	 * @return the whole answer; {@code ENDPOINT_REFUSED} if the request was not sent;
	 * {@code CONNECTION_LOST}, {@code ANSWER_INCOMPLETE}, {@code ANSWER_MISMATCHED} or
	 * {@code DEADLINE_AFTER_START} if it may have run
	 */
	CompletionStage<Either<Failure, HttpAnswer>> exchange(String requestId, HttpCall call, Duration limit);

	/**
	 * Gives up the idle connections, because one of them was found silent. Requests that
	 * are on their way go on.
	 */
	void renewConnections();

	@Override
	void close();

}
