package org.crocuspost.standin.server;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;

import org.crocuspost.platform.http.BlockingHttpClient;
import org.crocuspost.platform.http.HttpLimits;
import org.crocuspost.platform.http.HttpOutcome;
import org.crocuspost.platform.table.Transaction;
import org.crocuspost.standin.objects.ObjectStandIn;
import org.crocuspost.standin.table.TableStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PlatformServerTests {

	private final TableStandIn table = new TableStandIn();

	private final ObjectStandIn objects = new ObjectStandIn();

	private final PlatformServer server = PlatformServer
		.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), this.table, this.objects, List.of());

	private final BlockingHttpClient client = new BlockingHttpClient(
			HttpLimits.DEFAULT.withCallTimeout(Duration.ofSeconds(30)));

	@AfterEach
	void close() {
		this.client.close();
		this.server.close();
	}

	@Test
	void faultsAreSetOverHttp() {
		call("PUT", "/stand-in/table/faults", "{\"down\": true, \"delay\": \"PT0.5S\"}", 200);
		assertThat(this.table.faults().isDown()).isTrue();
		assertThat(this.table.faults().delay()).isEqualTo(Duration.ofMillis(500));
		assertThat(this.objects.faults().isDown()).isFalse();
		call("PUT", "/stand-in/table/faults", "{}", 200);
		assertThat(this.table.faults().isDown()).isFalse();
	}

	@Test
	void heldWritesAreAppliedOverHttp() {
		call("PUT", "/stand-in/table/faults", "{\"nextWrites\": [\"HELD\", \"NONE\"]}", 200);
		this.table.commit(Transaction.empty().put("a", "1"));
		assertThat(call("POST", "/stand-in/table/held-writes", "", 200)).isEqualTo("{\"applied\":1}");
		assertThat(this.table.read("a").get().value()).isEqualTo("1");
	}

	@Test
	void countsAreReturnedOverHttp() {
		this.objects.put("a", new byte[1]);
		assertThat(call("GET", "/stand-in/objects/counts", "", 200))
			.isEqualTo("{\"reads\":0,\"writes\":1,\"itemsRead\":0,\"itemsWritten\":1}");
	}

	@Test
	void malformedBodiesAreRefusedAndChangeNothing() {
		for (String body : List.of("", "[", "null", "[]", "{\"down\": \"perhaps\"}", "{\"nextWrites\": [\"LATER\"]}")) {
			call("PUT", "/stand-in/table/faults", body, 400);
		}
		for (String body : List.of("", "{", "{}", "{\"conditions\": 1, \"writes\": []}", "{\"writes\": [null]}")) {
			call("POST", "/table/transactions", body, 400);
		}
		assertThat(this.table.faults().isDown()).isFalse();
		assertThat(this.table.counts().writes()).isZero();
	}

	private String call(String method, String path, String body, int status) {
		HttpOutcome outcome = this.client.call(method, this.server.url().resolve(path),
				body.getBytes(StandardCharsets.UTF_8), "application/json");
		assertThat(outcome).as(body).isInstanceOf(HttpOutcome.Answered.class);
		HttpOutcome.Answered answered = (HttpOutcome.Answered) outcome;
		assertThat(answered.status()).as(body).isEqualTo(status);
		return new String(answered.body(), StandardCharsets.UTF_8);
	}

}
