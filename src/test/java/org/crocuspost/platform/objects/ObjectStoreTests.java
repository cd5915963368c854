package org.crocuspost.platform.objects;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;

import org.crocuspost.error.ErrorCode;
import org.crocuspost.platform.http.BlockingHttpClient;
import org.crocuspost.platform.http.HttpLimits;
import org.crocuspost.platform.http.PlatformUrl;
import org.crocuspost.standin.objects.ObjectStandIn;
import org.crocuspost.standin.server.PlatformServer;
import org.crocuspost.standin.table.TableStandIn;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

class ObjectStoreTests {

	private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

	private static BlockingHttpClient client;

	@BeforeAll
	static void openClient() {
		client = new BlockingHttpClient(HttpLimits.DEFAULT.withCallTimeout(Duration.ofSeconds(30)));
	}

	@AfterAll
	static void closeClient() {
		client.close();
	}

	static Stream<ObjectStoreContract.Case> cases() {
		return ObjectStoreContract.cases();
	}

	@ParameterizedTest
	@MethodSource("cases")
	void inMemoryStoreMeetsTheContract(ObjectStoreContract.Case contractCase) {
		ObjectStandIn standIn = new ObjectStandIn();
		contractCase.check().accept(standIn, standIn);
	}

	@ParameterizedTest
	@MethodSource("cases")
	void httpStoreMeetsTheContract(ObjectStoreContract.Case contractCase) {
		ObjectStandIn standIn = new ObjectStandIn();
		try (PlatformServer server = PlatformServer.start(ANY_PORT, new TableStandIn(), standIn, List.of())) {
			contractCase.check().accept(new HttpObjectStore(client, server.url()), standIn);
		}
	}

	@Test
	void callThatWasNeverSentHasNoEffect() {
		PlatformServer server = PlatformServer.start(ANY_PORT, new TableStandIn(), new ObjectStandIn(), List.of());
		PlatformUrl url = server.url();
		server.close();
		ObjectStore store = new HttpObjectStore(client, url);
		assertThat(store.put("a", new byte[1]).getLeft().code()).isEqualTo(ErrorCode.STORE_UNAVAILABLE);
		assertThat(store.get("a").getLeft().code()).isEqualTo(ErrorCode.STORE_UNAVAILABLE);
	}

	@Test
	void notFoundAnswerOfAnotherServerIsNotAMissingObject() {
		try (PlatformServer server = PlatformServer.start(ANY_PORT, new TableStandIn(), new ObjectStandIn(),
				List.of())) {
			ObjectStore store = new HttpObjectStore(client, PlatformUrl.of(server.url().base() + "/nowhere"));
			assertThat(store.get("a").getLeft().code()).isEqualTo(ErrorCode.STORE_UNAVAILABLE);
			assertThat(store.put("a", new byte[1]).getLeft().code()).isEqualTo(ErrorCode.STORE_UNKNOWN);
		}
	}

}
