package org.crocuspost.platform.http;

import java.net.ConnectException;
import java.net.URI;
import java.net.UnknownHostException;
import java.nio.channels.UnresolvedAddressException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import ratpack.exec.ExecController;
import ratpack.exec.internal.DefaultExecController;
import ratpack.func.Action;
import ratpack.http.MutableHeaders;
import ratpack.http.client.HttpClient;
import ratpack.http.client.ReceivedResponse;
import ratpack.http.client.RequestSpec;

/**
 * HTTP client whose calls block the calling thread until the response is complete or the
 * timeout has expired. Thread-safe. Must not be called on a network thread.
 */
public final class BlockingHttpClient implements AutoCloseable {

	private static final int THREADS = 1;

	private final HttpLimits limits;

	private final ExecController controller;

	private final HttpClient client;

	/**
	 * Creates a client with its own network thread.
	 * @param limits the limits that apply to each call
	 */
	public BlockingHttpClient(HttpLimits limits) {
		this.limits = limits;
		this.controller = new DefaultExecController(THREADS);
		this.client = createClient(limits, this.controller);
	}

	private static HttpClient createClient(HttpLimits limits, ExecController controller) {
		try {
			return HttpClient.of((spec) -> spec.execController(controller)
				.poolSize(limits.connections())
				.connectTimeout(limits.connectTimeout())
				.readTimeout(limits.callTimeout())
				.maxContentLength(limits.maximumBodyBytes()));
		}
		catch (Exception ex) {
			throw new IllegalStateException("the HTTP client cannot be created", ex);
		}
	}

	/**
	 * Makes a call and waits for its outcome. Never throws.
	 * @param method the HTTP method
	 * @param uri the address
	 * @param body the request body; empty for none
	 * @param contentType the content type of the body
	 * @return the outcome of the call
	 */
	public HttpOutcome call(String method, URI uri, byte[] body, String contentType) {
		return call(method, uri, body, contentType, (headers) -> {
		});
	}

	/**
	 * Makes a call with additional headers and waits for its outcome. Never throws.
	 * @param method the HTTP method
	 * @param uri the address
	 * @param body the request body; empty for none
	 * @param contentType the content type of the body
	 * @param headers adds the additional headers
	 * @return the outcome of the call
	 */
	public HttpOutcome call(String method, URI uri, byte[] body, String contentType,
			Action<? super MutableHeaders> headers) {
		CompletableFuture<HttpOutcome> outcome = new CompletableFuture<>();
		try {
			this.controller.fork()
				.onError((error) -> outcome.complete(failureOutcome(error)))
				.start((execution) -> this.client
					.request(uri, (spec) -> prepare(spec.headers(headers), method, body, contentType))
					.then((response) -> outcome.complete(answeredOutcome(response))));
		}
		catch (RejectedExecutionException ex) {
			return new HttpOutcome.NeverSent("the client is closed");
		}
		return await(outcome);
	}

	private static void prepare(RequestSpec spec, String method, byte[] body, String contentType) throws Exception {
		spec.method(method).redirects(0);
		if (body.length > 0) {
			spec.body((content) -> content.type(contentType).bytes(body));
		}
	}

	private static HttpOutcome answeredOutcome(ReceivedResponse response) {
		return new HttpOutcome.Answered(response.getStatusCode(), response.getBody().getBytes());
	}

	private static HttpOutcome failureOutcome(Throwable error) {
		String reason = String.valueOf(error.getMessage());
		return isConnectFailure(error) ? new HttpOutcome.NeverSent(reason) : new HttpOutcome.Unanswered(reason);
	}

	private static boolean isConnectFailure(Throwable error) {
		return error instanceof ConnectException || error instanceof UnknownHostException
				|| error instanceof UnresolvedAddressException;
	}

	private HttpOutcome await(CompletableFuture<HttpOutcome> outcome) {
		try {
			return outcome.get(this.limits.callTimeout().toNanos(), TimeUnit.NANOSECONDS);
		}
		catch (TimeoutException ex) {
			return new HttpOutcome.Unanswered("no answer within " + this.limits.callTimeout());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return new HttpOutcome.Unanswered("the caller was interrupted");
		}
		catch (ExecutionException ex) {
			return new HttpOutcome.Unanswered(String.valueOf(ex.getMessage()));
		}
	}

	@Override
	public void close() {
		this.client.close();
		this.controller.close();
	}

}
