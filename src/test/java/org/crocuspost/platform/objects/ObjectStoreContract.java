package org.crocuspost.platform.objects;

import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;
import java.util.stream.Stream;

import org.crocuspost.error.ErrorCode;
import org.crocuspost.standin.WriteFault;
import org.crocuspost.standin.objects.ObjectStandIn;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Test cases that every {@link ObjectStore} implementation must pass.
 */
final class ObjectStoreContract {

	private static final byte[] CONTENT = "content".getBytes(StandardCharsets.UTF_8);

	private ObjectStoreContract() {
	}

	static Stream<Case> cases() {
		return Stream.of(
				new Case("reading a missing object returns none",
						(store, standIn) -> assertThat(store.get("a").get()).isEmpty()),
				new Case("an object is read back byte for byte", (store, standIn) -> {
					byte[] bytes = new byte[256 * 1024];
					new java.util.Random(1).nextBytes(bytes);
					assertThat(store.put("note ก/1", bytes).get()).isEqualTo("note ก/1");
					assertThat(store.get("note ก/1").get().get()).isEqualTo(bytes);
				}), new Case("an empty object exists", (store, standIn) -> {
					store.put("a", new byte[0]).get();
					assertThat(store.get("a").get().get()).isEmpty();
				}), new Case("the same object may be stored again", (store, standIn) -> {
					store.put("a", CONTENT).get();
					assertThat(store.put("a", CONTENT).get()).isEqualTo("a");
				}), new Case("different content under the same name is refused", (store, standIn) -> {
					store.put("a", CONTENT).get();
					assertThat(store.put("a", new byte[] { 1 }).getLeft().code()).isEqualTo(ErrorCode.MALFORMED);
					assertThat(store.get("a").get().get()).isEqualTo(CONTENT);
				}), new Case("a call to an unavailable store has no effect", (store, standIn) -> {
					standIn.faults().down(true);
					assertThat(store.put("a", CONTENT).getLeft().code()).isEqualTo(ErrorCode.STORE_UNAVAILABLE);
					assertThat(store.get("a").getLeft().code()).isEqualTo(ErrorCode.STORE_UNAVAILABLE);
					standIn.faults().clear();
					assertThat(store.get("a").get()).isEmpty();
				}), new Case("a put whose response is lost is unknown and can be repeated", (store, standIn) -> {
					standIn.faults().nextWrites(WriteFault.LOST_AFTER_WRITE, WriteFault.LOST_BEFORE_WRITE);
					assertThat(store.put("a", CONTENT).getLeft().code()).isEqualTo(ErrorCode.STORE_UNKNOWN);
					assertThat(store.put("b", CONTENT).getLeft().code()).isEqualTo(ErrorCode.STORE_UNKNOWN);
					assertThat(store.get("a").get().get()).isEqualTo(CONTENT);
					assertThat(store.get("b").get()).isEmpty();
					assertThat(store.put("a", CONTENT).get()).isEqualTo("a");
				}), new Case("an object whose write is delayed appears later", (store, standIn) -> {
					standIn.faults().nextWrites(WriteFault.HELD);
					assertThat(store.put("a", CONTENT).getLeft().code()).isEqualTo(ErrorCode.STORE_UNKNOWN);
					assertThat(store.get("a").get()).isEmpty();
					assertThat(standIn.applyHeld()).isEqualTo(1);
					assertThat(store.get("a").get().get()).isEqualTo(CONTENT);
				}), new Case("a stale read misses a new object", (store, standIn) -> {
					store.put("a", CONTENT).get();
					standIn.faults().staleReads(true);
					assertThat(store.get("a").get()).isEmpty();
					standIn.faults().staleReads(false);
					assertThat(store.get("a").get().get()).isEqualTo(CONTENT);
				}));
	}

	record Case(String description, BiConsumer<ObjectStore, ObjectStandIn> check) {

		@Override
		public String toString() {
			return this.description;
		}

	}

}
