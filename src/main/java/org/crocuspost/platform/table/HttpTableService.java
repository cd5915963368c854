package org.crocuspost.platform.table;

import java.net.URI;
import java.util.Optional;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.platform.http.BlockingHttpClient;
import org.crocuspost.platform.http.HttpOutcome;
import org.crocuspost.platform.http.HttpOutcome.Answered;
import org.crocuspost.platform.http.HttpOutcome.NeverSent;
import org.crocuspost.platform.http.HttpOutcome.Unanswered;
import org.crocuspost.platform.http.JsonBodies;
import org.crocuspost.platform.http.PlatformUrl;
import org.crocuspost.platform.http.RowsBody;
import org.crocuspost.platform.http.TransactionBody;

/**
 * Client of the table service over HTTP.
 *
 * <p>
 * A commit whose request was never sent fails with {@code STORE_UNAVAILABLE}. Any other
 * commit without a conclusive response fails with {@code STORE_UNKNOWN}. This includes a
 * status from an intermediate gateway, which has no information about what the table
 * service did.
 */
public final class HttpTableService implements TableService {

	private static final int OK = 200;

	private static final int CONFLICT = 409;

	private static final byte[] NO_BODY = {};

	private final BlockingHttpClient client;

	private final PlatformUrl url;

	/**
	 * Creates the adapter.
	 * @param client the HTTP client; it is not closed by this adapter
	 * @param url the URL of the table service
	 */
	public HttpTableService(BlockingHttpClient client, PlatformUrl url) {
		this.client = client;
		this.url = url;
	}

	@Override
	public Either<Failure, Seq<Row>> scan(String prefix) {
		return read(this.url.resolve("/table/rows", "prefix", prefix), RowsBody.class)
			.map((body) -> Vector.ofAll(body.rows()));
	}

	@Override
	public Either<Failure, Row> read(String key) {
		return read(this.url.resolve("/table/row", "key", key), Row.class);
	}

	private <T> Either<Failure, T> read(URI uri, Class<T> type) {
		HttpOutcome outcome = this.client.call("GET", uri, NO_BODY, JsonBodies.CONTENT_TYPE);
		if (outcome instanceof NeverSent neverSent) {
			return unavailable(neverSent.reason());
		}
		if (outcome instanceof Unanswered unanswered) {
			return unavailable(unanswered.reason());
		}
		Answered answered = (Answered) outcome;
		if (answered.status() != OK) {
			return unavailable("status " + answered.status());
		}
		return JsonBodies.read(answered.body(), type)
			.<Either<Failure, T>>map(Either::right)
			.orElseGet(() -> unavailable("the answer is malformed"));
	}

	@Override
	public Either<Failure, CommitResult> commit(Transaction transaction) {
		byte[] body = JsonBodies.write(TransactionBody.of(transaction));
		URI uri = this.url.resolve("/table/transactions");
		HttpOutcome outcome = this.client.call("POST", uri, body, JsonBodies.CONTENT_TYPE);
		if (outcome instanceof NeverSent neverSent) {
			return unavailable(neverSent.reason());
		}
		if (outcome instanceof Unanswered unanswered) {
			return unknown(unanswered.reason());
		}
		Answered answered = (Answered) outcome;
		return switch (answered.status()) {
			case OK -> rows(answered).map(CommitResult.Committed::new);
			case CONFLICT -> rows(answered).map(CommitResult.Conflict::new);
			default -> refusal(answered);
		};
	}

	private static Either<Failure, Seq<Row>> rows(Answered answered) {
		return JsonBodies.read(answered.body(), RowsBody.class)
			.<Either<Failure, Seq<Row>>>map((body) -> Either.right(Vector.ofAll(body.rows())))
			.orElseGet(() -> unknown("the answer is malformed"));
	}

	private static Either<Failure, CommitResult> refusal(Answered answered) {
		Optional<Failure> failure = JsonBodies.failure(answered.body());
		return failure.<Either<Failure, CommitResult>>map(Either::left)
			.orElseGet(() -> unknown("status " + answered.status()));
	}

	private static <T> Either<Failure, T> unavailable(String reason) {
		return Either.left(ErrorCode.STORE_UNAVAILABLE.with(reason));
	}

	private static <T> Either<Failure, T> unknown(String reason) {
		return Either.left(ErrorCode.STORE_UNKNOWN.with(reason));
	}

}
