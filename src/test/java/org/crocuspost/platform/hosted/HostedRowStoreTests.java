package org.crocuspost.platform.hosted;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;

import com.sun.net.httpserver.HttpServer;
import io.netty.channel.EventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.lead.Tables;
import org.crocuspost.net.Sockets;
import org.crocuspost.net.TrafficCounters;
import org.crocuspost.platform.http.HttpCaller;
import org.crocuspost.rows.PageRequest;
import org.crocuspost.rows.RowChanges;
import org.crocuspost.rows.RowCommit;
import org.crocuspost.rows.RowPage;
import org.crocuspost.rows.RowTransaction;
import org.crocuspost.rows.StoredRow;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a transaction that is sent again for ever, since the rejection of what
 * it contains is taken for a failure of the store, and against one row that hides all
 * others.
 */
class HostedRowStoreTests {

	private final EventLoopGroup loop = Sockets.eventLoop("hosted-row-store-tests");

	@AfterEach
	void shutDownLoop() {
		this.loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
	}

	/**
	 * The key of the odd row comes from the operator's table, in which a row counts
	 * whatever its value is.
	 */
	static Stream<Arguments> oddRows() {
		String head = "{\"table\":\"op\",\"part\":\"\",\"key\":\"odd\",\"schema_version\":7,\"value\":";
		String nested = "[".repeat(900) + "]".repeat(900);
		return Stream
			.of(head + "\"%%%\"}", head + "\"QQ\"}", head + "\"Q\"}", head + "\"//79\"}", head + "7}", head + "1e400}",
					head + "null}", head + "{}}", head + nested + "}", "{\"key\":\"odd\",\"schema_version\":7}",
					"{\"key\":\"odd\",\"schema_version\":1e400,\"value\":\"QQ==\"}",
					"{\"key\":\"odd\",\"schema_version\":\"x\",\"value\":\"QQ==\"}",
					"{\"key\":\"odd\",\"value\":\"QQ==\"}", "{\"key\":7,\"schema_version\":7,\"value\":\"QQ==\"}",
					"{\"schema_version\":7,\"value\":\"QQ==\"}", "{}", "[]", "null", "7", nested)
			.flatMap((row) -> Stream.of(0, 1, 2).map((position) -> Arguments.of(row, position)));
	}

	@ParameterizedTest
	@MethodSource("oddRows")
	void oddRowDoesNotHideTheOtherRows(String odd, int position) throws Exception {
		List<String> rows = new ArrayList<>(List.of(row("a", "first"), row("z", "last")));
		rows.add(position, odd);
		HttpServer server = server(200, "{\"schema_version\":9,\"has_more\":false,\"rows\":" + rows + "}");
		try {
			HostedRowStore store = store(server);
			RowPage page = this.<RowPage>call((answer) -> store.scan(PageRequest.first("op", 0), answer)).get();
			assertThat(withoutOdd(page.rows())).containsExactly(new StoredRow("a", 3, "first"),
					new StoredRow("z", 3, "last"));
			RowChanges changes = this
				.<RowChanges>call((answer) -> store.changes("op", 1, Duration.ofMillis(10), answer))
				.get();
			assertThat(withoutOdd(changes.rows())).hasSize(2);
			assertThat(changes.storeVersion()).isEqualTo(9);
			assertThat(this.<StoredRow>call((answer) -> store.read("op", "z", answer)).get().value()).isEqualTo("last");
		}
		finally {
			server.stop(0);
		}
	}

	/**
	 * Guards against a time that the store did not give, on which a leader would rely.
	 */
	@ParameterizedTest
	@CsvSource(quoteCharacter = '`', delimiter = '|',
			value = { "200 | {'schema_version':9,'now_ms':51230} | 51230", "412 | {'rows':[],'now_ms':51230} | 51230",
					"200 | {'schema_version':9,'now_ms':0} | 0", "200 | {'schema_version':9} | -1",
					"200 | {'schema_version':9,'now_ms':null} | -1", "200 | {'schema_version':9,'now_ms':'51230'} | -1",
					"200 | {'schema_version':9,'now_ms':1e400} | -1", "200 | {'schema_version':9,'now_ms':-5} | -1" })
	void outcomeOfATransactionTellsTheTimeOfTheStore(int status, String body, long expected) throws Exception {
		HttpServer server = server(status, body.replace('\'', '"'));
		try {
			HostedRowStore store = store(server);
			RowCommit commit = this
				.<RowCommit>call((answer) -> store.commit(RowTransaction.of(List.of(), List.of()), answer))
				.get();
			assertThat(commit.storeMillis().orElse(-1)).isEqualTo(expected);
		}
		finally {
			server.stop(0);
		}
	}

	/**
	 * A transaction whose condition fails on an odd row must be answered: whoever waits
	 * for the answer does nothing else.
	 */
	@ParameterizedTest
	@MethodSource("oddRows")
	void conditionThatFailsOnAnOddRowIsAnswered(String odd, int position) throws Exception {
		List<String> rows = new ArrayList<>(List.of(row("a", "first"), row("z", "last")));
		rows.add(position, odd);
		HttpServer server = server(412, "{\"rows\":" + rows + "}");
		try {
			HostedRowStore store = store(server);
			RowCommit commit = this
				.<RowCommit>call((answer) -> store.commit(RowTransaction.of(List.of(), List.of()), answer))
				.get();
			assertThat(commit.applied()).isFalse();
			assertThat(withoutOdd(commit.current())).hasSize(2);
		}
		finally {
			server.stop(0);
		}
	}

	/**
	 * The presence of a row counts for cancellations and failure domains out of service.
	 */
	@Test
	void rowWithAnUnreadableValueIsPresentButHoldsNoValue() throws Exception {
		HttpServer server = server(200,
				"{\"schema_version\":9,\"rows\":[{\"key\":\"odd\",\"schema_version\":7,\"value\":\"%\"}]}");
		try {
			HostedRowStore store = store(server);
			StoredRow row = this.<StoredRow>call((answer) -> store.read("op", "odd", answer)).get();
			assertThat(row.exists()).isTrue();
			assertThat(row.value()).isEqualTo(StoredRow.UNREADABLE);
		}
		finally {
			server.stop(0);
		}
	}

	/**
	 * The next page is read from after the last key of this one.
	 */
	@Test
	void incompletePageWithoutRowsIsAFailedRead() throws Exception {
		HttpServer server = server(200, "{\"schema_version\":9,\"has_more\":true,\"rows\":[{}]}");
		try {
			HostedRowStore store = store(server);
			assertThat(this.<RowPage>call((answer) -> store.scan(PageRequest.first("op", 0), answer)).getLeft().code())
				.isEqualTo(ErrorCode.STORE_UNAVAILABLE);
			assertThat(this.<RowPage>call((answer) -> store.scan(PageRequest.first(Tables.SUBMISSIONS, 7), answer))
				.getLeft()
				.code()).isEqualTo(ErrorCode.STORE_UNAVAILABLE);
		}
		finally {
			server.stop(0);
		}
	}

	private static List<StoredRow> withoutOdd(List<StoredRow> rows) {
		return rows.stream().filter((row) -> !row.key().equals("odd")).toList();
	}

	private static String row(String key, String value) {
		return "{\"key\":\"" + key + "\",\"schema_version\":3,\"value\":\""
				+ Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)) + "\"}";
	}

	private HostedRowStore store(HttpServer server) {
		return new HostedRowStore(new HttpCaller(this.loop.next(), 4), server.getAddress(),
				new TrafficCounters(new PrometheusRegistry()));
	}

	private <T> Either<Failure, T> call(Consumer<Consumer<Either<Failure, T>>> operation) throws Exception {
		CompletableFuture<Either<Failure, T>> answer = new CompletableFuture<>();
		this.loop.next().execute(() -> operation.accept(answer::complete));
		return answer.get(10, TimeUnit.SECONDS);
	}

	private static HttpServer server(int status, String body) throws IOException {
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
		server.createContext("/", (exchange) -> {
			exchange.getRequestBody().readAllBytes();
			exchange.sendResponseHeaders(status, (bytes.length > 0) ? bytes.length : -1);
			exchange.getResponseBody().write(bytes);
			exchange.close();
		});
		server.start();
		return server;
	}

	@ParameterizedTest
	@CsvSource({ "400, STORE_REJECTED", "413, STORE_REJECTED", "429, STORE_UNAVAILABLE", "503, STORE_UNAVAILABLE" })
	void statusDistinguishesRejectedTransactionFromUnavailableStore(int status, ErrorCode expected) throws Exception {
		HttpServer server = server(status, "");
		try {
			HostedRowStore store = store(server);
			assertThat(this.<RowCommit>call((answer) -> store.commit(RowTransaction.of(List.of(), List.of()), answer))
				.getLeft()
				.code()).isEqualTo(expected);
		}
		finally {
			server.stop(0);
		}
	}

}
