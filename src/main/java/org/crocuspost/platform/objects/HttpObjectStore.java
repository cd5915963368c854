package org.crocuspost.platform.objects;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.platform.http.BlockingHttpClient;
import org.crocuspost.platform.http.HttpOutcome;
import org.crocuspost.platform.http.HttpOutcome.Answered;
import org.crocuspost.platform.http.HttpOutcome.NeverSent;
import org.crocuspost.platform.http.HttpOutcome.Unanswered;
import org.crocuspost.platform.http.JsonBodies;
import org.crocuspost.platform.http.PlatformUrl;

/**
 * Client of the object store over HTTP. A write whose outcome is not known, because no
 * conclusive response was received, fails with {@code STORE_UNKNOWN} and can be repeated.
 */
public final class HttpObjectStore implements ObjectStore {

	private static final String CONTENT_TYPE = "application/octet-stream";

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final byte[] NO_BODY = {};

	private final BlockingHttpClient client;

	private final PlatformUrl url;

	/**
	 * Creates the adapter.
	 * @param client the HTTP client; it is not closed by this adapter
	 * @param url the URL of the object store
	 */
	public HttpObjectStore(BlockingHttpClient client, PlatformUrl url) {
		this.client = client;
		this.url = url;
	}

	@Override
	public Either<Failure, String> put(String name, byte[] content) {
		HttpOutcome outcome = this.client.call("PUT", this.url.resolve("/object", "name", name), content, CONTENT_TYPE);
		if (outcome instanceof NeverSent neverSent) {
			return Either.left(ErrorCode.STORE_UNAVAILABLE.with(neverSent.reason()));
		}
		if (outcome instanceof Unanswered unanswered) {
			return Either.left(ErrorCode.STORE_UNKNOWN.with(unanswered.reason()));
		}
		Answered answered = (Answered) outcome;
		if (answered.status() == OK) {
			return Either.right(name);
		}
		return Either.left(JsonBodies.failure(answered.body())
			.orElseGet(() -> ErrorCode.STORE_UNKNOWN.with("status " + answered.status())));
	}

	@Override
	public Either<Failure, Option<byte[]>> get(String name) {
		HttpOutcome outcome = this.client.call("GET", this.url.resolve("/object", "name", name), NO_BODY, CONTENT_TYPE);
		if (outcome instanceof NeverSent neverSent) {
			return Either.left(ErrorCode.STORE_UNAVAILABLE.with(neverSent.reason()));
		}
		if (outcome instanceof Unanswered unanswered) {
			return Either.left(ErrorCode.STORE_UNAVAILABLE.with(unanswered.reason()));
		}
		Answered answered = (Answered) outcome;
		return switch (answered.status()) {
			case OK -> Either.right(Option.some(answered.body()));
			case NOT_FOUND -> missingObject(answered);
			default -> Either.left(ErrorCode.STORE_UNAVAILABLE.with("status " + answered.status()));
		};
	}

	private static Either<Failure, Option<byte[]>> missingObject(Answered answered) {
		boolean confirmed = JsonBodies.failure(answered.body())
			.filter((failure) -> failure.code() == ErrorCode.NOT_FOUND)
			.isPresent();
		return confirmed ? Either.right(Option.none())
				: Either.left(ErrorCode.STORE_UNAVAILABLE.with("status " + answered.status()));
	}

}
