package org.crocuspost.platform.hosted;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.json.JsonTrees;
import org.crocuspost.lead.Tables;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.net.TrafficCounters;
import org.crocuspost.platform.http.HttpCaller;
import org.crocuspost.platform.http.HttpOutcome;
import org.crocuspost.platform.http.HttpOutcome.Answered;
import org.crocuspost.rows.PageRequest;
import org.crocuspost.rows.RowChanges;
import org.crocuspost.rows.RowCommit;
import org.crocuspost.rows.RowEvent;
import org.crocuspost.rows.RowPage;
import org.crocuspost.rows.RowStore;
import org.crocuspost.rows.RowTransaction;
import org.crocuspost.rows.StoredRow;

/**
 * Accesses rows in the platform's store. All rows of crocuspost are in one partition,
 * which the platform calls a part, since a transaction must not span partitions.
 */
public final class HostedRowStore implements RowStore {

	private static final int OK = 200;

	private static final int CONDITION_FAILED = 412;

	private static final int GONE = 410;

	private static final int BAD_REQUEST = 400;

	private static final int TOO_LARGE = 413;

	/**
	 * Table that only the platform and the operator write. Its partition name is empty.
	 */
	private static final String OPERATOR_TABLE = "op";

	private static final String PARTITION = "crocuspost";

	/**
	 * Timeout of a call. The store normally takes 10 ms; disruptions slow it down by a
	 * factor of 60.
	 */
	private static final Duration CALL_TIMEOUT = Duration.ofMillis(1_500);

	private final HttpCaller caller;

	private final InetSocketAddress address;

	private final TrafficCounters traffic;

	/**
	 * Creates the adapter.
	 * @param caller the HTTP client
	 * @param address the address of the store
	 * @param traffic counts the bytes of the calls
	 */
	public HostedRowStore(HttpCaller caller, InetSocketAddress address, TrafficCounters traffic) {
		this.caller = caller;
		this.address = address;
		this.traffic = traffic;
	}

	@Override
	public void commit(RowTransaction transaction, Consumer<Either<Failure, RowCommit>> answer) {
		HttpCaller.Request request = new HttpCaller.Request("POST", "/v1/rows-tx", Map.of(), body(transaction));
		call("commit", request, CALL_TIMEOUT, (outcome) -> answer.accept(commitResult(outcome)));
	}

	private static byte[] body(RowTransaction transaction) {
		ObjectNode body = JsonTrees.object();
		ArrayNode conditions = body.putArray("precondition");
		for (RowTransaction.Condition condition : transaction.conditions()) {
			row(conditions, condition.table(), condition.key()).put("schema_version", condition.version());
		}
		ArrayNode writes = body.putArray("writes");
		for (RowTransaction.Write write : transaction.writes()) {
			row(writes, write.table(), write.key()).put("value",
					Base64.getEncoder().encodeToString(write.value().getBytes(StandardCharsets.UTF_8)));
		}
		ArrayNode removals = body.putArray("remove");
		for (RowTransaction.Removal removal : transaction.removals()) {
			row(removals, removal.table(), removal.key());
		}
		return JsonTrees.bytes(body);
	}

	private static ObjectNode row(ArrayNode rows, String table, String key) {
		return rows.addObject().put("table", table).put("part", partition(table, key)).put("key", key);
	}

	private static String partition(String table, String key) {
		if (table.equals(OPERATOR_TABLE)) {
			return "";
		}
		return partitionName(Tables.partition(table, key));
	}

	private static String partitionName(int number) {
		return (number == 0) ? PARTITION : PARTITION + "-" + number;
	}

	private static Either<Failure, RowCommit> commitResult(HttpOutcome outcome) {
		if (outcome instanceof HttpOutcome.NeverSent neverSent) {
			return unavailable(neverSent.reason());
		}
		if (outcome instanceof HttpOutcome.Unanswered unanswered) {
			return Either.left(ErrorCode.STORE_UNKNOWN.with(unanswered.reason()));
		}
		Answered answered = (Answered) outcome;
		try {
			return switch (answered.status()) {
				case OK -> Either.right(applied(JsonTrees.read(answered.body())));
				case CONDITION_FAILED -> Either.right(rejected(JsonTrees.read(answered.body())));
				case BAD_REQUEST, TOO_LARGE ->
					Either.left(ErrorCode.STORE_REJECTED.with("status " + answered.status()));
				// Any other status means that the transaction had no effect.
				default -> unavailable("status " + answered.status());
			};
		}
		catch (IOException ex) {
			return Either.left(ErrorCode.STORE_UNKNOWN.with("the answer is malformed"));
		}
	}

	private static RowCommit applied(JsonNode body) {
		return new RowCommit(true, version(body), List.of(), storeMillis(body));
	}

	private static RowCommit rejected(JsonNode body) {
		return new RowCommit(false, 0, rows(body), storeMillis(body));
	}

	private static OptionalLong storeMillis(JsonNode body) {
		JsonNode millis = body.path("now_ms");
		return (millis.isIntegralNumber() && millis.canConvertToLong() && millis.asLong() >= 0)
				? OptionalLong.of(millis.asLong()) : OptionalLong.empty();
	}

	@Override
	public void read(String table, String key, Consumer<Either<Failure, StoredRow>> answer) {
		String path = "/v1/rows-get?table=" + encode(table) + "&part=" + partition(table, key) + "&from=" + encode(key)
				+ "&target=" + encode(key + RowStore.KEY_SUCCESSOR_SUFFIX) + "&limit=1";
		get("read", path, CALL_TIMEOUT,
				(outcome) -> answer.accept(outcome.flatMap((answered) -> parse(answered,
						(body) -> rows(body).stream()
							.filter((row) -> row.key().equals(key))
							.findFirst()
							.orElse(new StoredRow(key, StoredRow.ABSENT, ""))))));
	}

	@Override
	public int partitions(String table) {
		return table.equals(Tables.SUBMISSIONS) ? Tables.SUBMISSION_PARTITIONS : 1;
	}

	@Override
	public void scan(PageRequest request, Consumer<Either<Failure, RowPage>> answer) {
		String table = request.table();
		String partition = table.equals(Tables.SUBMISSIONS) ? partitionName(request.partition() + 1)
				: partition(table, request.fromKey());
		String from = request.fromKey().isEmpty() ? "" : "&from=" + encode(request.fromKey());
		String path = "/v1/rows-get?table=" + encode(table) + "&part=" + partition + from + "&limit="
				+ request.maximumRows();
		get("scan", path, CALL_TIMEOUT,
				(outcome) -> answer.accept(outcome.flatMap((answered) -> parse(answered, HostedRowStore::page))));
	}

	private static RowPage page(JsonNode body) {
		List<StoredRow> rows = rows(body);
		boolean complete = !body.path("has_more").asBoolean();
		if (!complete && rows.isEmpty()) {
			throw new IllegalArgumentException("a page without rows does not say where the next one begins");
		}
		return new RowPage(rows, complete, version(body));
	}

	@Override
	public void changes(String table, long afterVersion, Duration maximumWait,
			Consumer<Either<Failure, RowChanges>> answer) {
		String path = "/v1/rows-feed?table=" + encode(table) + "&after=" + afterVersion + "&wait_ms="
				+ maximumWait.toMillis();
		get("changes", path, CALL_TIMEOUT.plus(maximumWait), (outcome) -> answer.accept(outcome.flatMap((answered) -> {
			if (answered.status() == GONE) {
				return Either.right(RowChanges.HISTORY_LOST);
			}
			return parse(answered, (body) -> new RowChanges(false, rows(body), version(body)));
		})));
	}

	private void get(String operation, String path, Duration timeout, Consumer<Either<Failure, Answered>> answer) {
		HttpCaller.Request request = new HttpCaller.Request("GET", path, Map.of(), new byte[0]);
		call(operation, request, timeout, (outcome) -> {
			if (outcome instanceof Answered answered) {
				answer.accept(Either.right(answered));
			}
			else if (outcome instanceof HttpOutcome.NeverSent neverSent) {
				answer.accept(unavailable(neverSent.reason()));
			}
			else {
				answer.accept(unavailable(((HttpOutcome.Unanswered) outcome).reason()));
			}
		});
	}

	private void call(String operation, HttpCaller.Request request, Duration timeout, Consumer<HttpOutcome> answer) {
		this.caller.call(this.address, request, timeout, (outcome) -> {
			long received = (outcome instanceof Answered answered) ? answered.body().length : 0;
			this.traffic.count("store " + operation, request.path().length() + request.body().length, received);
			answer.accept(outcome);
		});
	}

	private static <T> Either<Failure, T> parse(Answered answered, BodyParser<T> parser) {
		if (answered.status() != OK) {
			return unavailable("status " + answered.status());
		}
		try {
			return Either.right(parser.parse(JsonTrees.read(answered.body())));
		}
		catch (IOException | IllegalArgumentException ex) {
			return unavailable("the answer is malformed");
		}
	}

	private static List<StoredRow> rows(JsonNode body) {
		List<StoredRow> rows = new ArrayList<>();
		for (JsonNode row : body.path("rows")) {
			row(row).ifPresent(rows::add);
		}
		return rows;
	}

	/**
	 * Decodes a row on its own, so that an odd one does not hide the others.
	 * @param row the row
	 * @return the row, or empty if it names no row; without a usable value if only that
	 * cannot be decoded
	 */
	private static Optional<StoredRow> row(JsonNode row) {
		JsonNode version = row.path("schema_version");
		boolean removed = row.path("deleted").asBoolean();
		if (!row.path("key").isTextual() || !(removed || (version.isIntegralNumber() && version.canConvertToLong()))) {
			logUnreadable(row, "the key or the version is missing or malformed");
			return Optional.empty();
		}
		String key = row.path("key").asText();
		return Optional
			.of(removed ? new StoredRow(key, StoredRow.ABSENT, "") : new StoredRow(key, version.asLong(), value(row)));
	}

	private static String value(JsonNode row) {
		JsonNode value = row.path("value");
		if (value.isMissingNode()) {
			return "";
		}
		try {
			if (value.isTextual()) {
				return new String(Base64.getDecoder().decode(value.asText()), StandardCharsets.UTF_8);
			}
			logUnreadable(row, "the value is no text");
		}
		catch (IllegalArgumentException ex) {
			logUnreadable(row, String.valueOf(ex.getMessage()));
		}
		return StoredRow.UNREADABLE;
	}

	private static void logUnreadable(JsonNode row, String reason) {
		EventLog.warn(RowEvent.ROW_UNREADABLE, Field.of("table", row.path("table").asText()),
				Field.of("key", row.path("key").asText()), Field.of("version", row.path("schema_version").asText()),
				Field.of("reason", reason));
	}

	private static long version(JsonNode node) {
		// The version of the row in a row, and of the whole store in an answer.
		return node.path("schema_version").asLong();
	}

	private static String encode(String text) {
		return URLEncoder.encode(text, StandardCharsets.UTF_8);
	}

	private static <T> Either<Failure, T> unavailable(String reason) {
		return Either.left(ErrorCode.STORE_UNAVAILABLE.with(reason));
	}

	private interface BodyParser<T> {

		T parse(JsonNode body);

	}

}
