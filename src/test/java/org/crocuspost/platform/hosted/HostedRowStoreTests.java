package org.crocuspost.platform.hosted;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.sun.net.httpserver.HttpServer;
import io.netty.channel.EventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.net.Sockets;
import org.crocuspost.net.TrafficCounters;
import org.crocuspost.platform.http.HttpCaller;
import org.crocuspost.rows.RowCommit;
import org.crocuspost.rows.RowTransaction;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a transaction that is sent again for ever, since the rejection of what
 * it contains is taken for a failure of the store.
 */
class HostedRowStoreTests {

	private final EventLoopGroup loop = Sockets.eventLoop("hosted-row-store-tests");

	@AfterEach
	void shutDownLoop() {
		this.loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
	}

	@ParameterizedTest
	@CsvSource({ "400, STORE_REJECTED", "413, STORE_REJECTED", "429, STORE_UNAVAILABLE", "503, STORE_UNAVAILABLE" })
	void statusDistinguishesRejectedTransactionFromUnavailableStore(int status, ErrorCode expected) throws Exception {
		HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
		server.createContext("/", (exchange) -> {
			exchange.getRequestBody().readAllBytes();
			exchange.sendResponseHeaders(status, -1);
			exchange.close();
		});
		server.start();
		try {
			HostedRowStore store = new HostedRowStore(new HttpCaller(this.loop.next(), 4), server.getAddress(),
					new TrafficCounters(new PrometheusRegistry()));
			CompletableFuture<Either<Failure, RowCommit>> answer = new CompletableFuture<>();
			this.loop.next().execute(() -> store.commit(RowTransaction.of(List.of(), List.of()), answer::complete));
			assertThat(answer.get(10, TimeUnit.SECONDS).getLeft().code()).isEqualTo(expected);
		}
		finally {
			server.stop(0);
		}
	}

}
