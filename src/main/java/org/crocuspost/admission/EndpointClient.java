package org.crocuspost.admission;

import java.time.Duration;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.crocuspost.error.Failure;
import org.crocuspost.http.HttpRequest;
import org.crocuspost.http.HttpResponse;

/**
 * Client that sends HTTP requests to an endpoint.
 */
public interface EndpointClient extends AutoCloseable {

	/**
	 * Sends a request.
	 * @param requestId the identifier of the request, which is sent to the endpoint in a
	 * header
	 * @param call the HTTP request
	 * @param timeout the maximum time to wait for the answer, after which the connection
	 * is closed and not reused
	 * @return the complete answer; {@code ENDPOINT_REFUSED} if the request was not sent;
	 * {@code CONNECTION_LOST}, {@code ANSWER_INCOMPLETE}, {@code ANSWER_MISMATCHED} or
	 * {@code DEADLINE_AFTER_START} if it may have run
	 */
	CompletionStage<Either<Failure, HttpResponse>> exchange(String requestId, HttpRequest call, Duration timeout);

	/**
	 * Replaces the connection pool after a connection in it was found to be unresponsive
	 * or returned the answer of another request, so that idle connections are not reused.
	 * Requests in progress continue.
	 */
	void renewConnections();

	@Override
	void close();

}
