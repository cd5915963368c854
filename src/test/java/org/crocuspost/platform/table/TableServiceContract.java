package org.crocuspost.platform.table;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.stream.Stream;

import io.vavr.collection.Seq;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Verdict;
import org.crocuspost.standin.WriteFault;
import org.crocuspost.standin.table.TableStandIn;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Test cases that every {@link TableService} implementation must pass.
 */
final class TableServiceContract {

	private TableServiceContract() {
	}

	static Stream<Case> cases() {
		return Stream.of(new Case("reading a missing row returns an absent row", TableServiceContract::missingRow),
				new Case("a written row is read with its version", TableServiceContract::writtenRow),
				new Case("a scan returns the rows of a prefix in order", TableServiceContract::scan),
				new Case("a transaction is applied as a whole or not at all", TableServiceContract::atomicTransaction),
				new Case("a version increases also across a deletion", TableServiceContract::versionRises),
				new Case("exactly one of several concurrent transactions commits", TableServiceContract::race),
				new Case("a value is read back character for character", TableServiceContract::characters),
				new Case("a call to an unavailable service has no effect", TableServiceContract::unavailable),
				new Case("a commit that is lost before the write is unknown", TableServiceContract::lostBefore),
				new Case("a commit whose response is lost after the write is unknown", TableServiceContract::lostAfter),
				new Case("a delayed write takes effect later", TableServiceContract::held),
				new Case("a delayed write whose condition no longer holds has no effect",
						TableServiceContract::heldWithFailedCondition),
				new Case("a stale read returns an earlier state", TableServiceContract::stale));
	}

	private static void missingRow(TableService service, TableStandIn standIn) {
		assertThat(service.read("a").get()).isEqualTo(Row.absent("a"));
		assertThat(service.scan("a").get()).isEmpty();
	}

	private static void writtenRow(TableService service, TableStandIn standIn) {
		CommitResult result = service.commit(Transaction.empty().require("a", Row.ABSENT).put("a", "1")).get();
		Row row = service.read("a").get();
		assertThat(result).isEqualTo(new CommitResult.Committed(io.vavr.collection.Vector.of(row)));
		assertThat(row.value()).isEqualTo("1");
		assertThat(row.exists()).isTrue();
	}

	private static void scan(TableService service, TableStandIn standIn) {
		service.commit(Transaction.empty().put("b/2", "").put("b/1", "").put("a", "").put("c", "").put("b0", "")).get();
		assertThat(service.scan("b/").get().map(Row::key)).containsExactly("b/1", "b/2");
		assertThat(service.scan("").get()).hasSize(5);
	}

	private static void atomicTransaction(TableService service, TableStandIn standIn) {
		Row first = put(service, "a", "1");
		Row second = put(service, "b", "1");
		CommitResult result = service
			.commit(Transaction.empty()
				.require("a", first.version())
				.require("b", second.version() + 1)
				.put("a", "2")
				.delete("b"))
			.get();
		assertThat(result).isEqualTo(new CommitResult.Conflict(io.vavr.collection.Vector.of(second)));
		assertThat(service.scan("").get()).containsExactly(first, second);
	}

	private static void versionRises(TableService service, TableStandIn standIn) {
		Row first = put(service, "a", "1");
		CommitResult deleted = service.commit(Transaction.empty().require("a", first.version()).delete("a")).get();
		assertThat(deleted).isEqualTo(new CommitResult.Committed(io.vavr.collection.Vector.empty()));
		assertThat(service.read("a").get().exists()).isFalse();
		assertThat(put(service, "a", "1").version()).isGreaterThan(first.version());
	}

	private static void race(TableService service, TableStandIn standIn) {
		Row row = put(service, "a", "0");
		List<CompletableFuture<CommitResult>> racers = new ArrayList<>();
		for (int racer = 1; racer <= 8; racer++) {
			Transaction transaction = Transaction.empty().require("a", row.version()).put("a", "racer " + racer);
			racers.add(CompletableFuture.supplyAsync(() -> service.commit(transaction).get()));
		}
		List<CommitResult> results = racers.stream()
			.map((racer) -> racer.orTimeout(30, TimeUnit.SECONDS).join())
			.toList();
		List<Row> committedRows = results.stream()
			.filter(CommitResult.Committed.class::isInstance)
			.flatMap((result) -> ((CommitResult.Committed) result).rows().toJavaStream())
			.toList();
		assertThat(committedRows).containsExactly(service.read("a").get());
		assertThat(results).filteredOn(CommitResult.Conflict.class::isInstance)
			.hasSize(7)
			.allSatisfy((result) -> assertThat(((CommitResult.Conflict) result).rows())
				.containsExactly(committedRows.get(0)));
	}

	private static void characters(TableService service, TableStandIn standIn) {
		String value = "{\"name\": \"ข้าว/চাল\\n\"}\n\t 100% +&?#";
		String key = "task/ก ข+%2F?&#";
		put(service, key, value);
		assertThat(service.read(key).get().value()).isEqualTo(value);
		assertThat(service.scan("task/ก ข+%2F").get().map(Row::key)).containsExactly(key);
	}

	private static void unavailable(TableService service, TableStandIn standIn) {
		Row row = put(service, "a", "1");
		standIn.faults().down(true);
		assertThat(service.read("a").getLeft().code()).isEqualTo(ErrorCode.STORE_UNAVAILABLE);
		assertThat(service.scan("a").getLeft().code()).isEqualTo(ErrorCode.STORE_UNAVAILABLE);
		assertThat(service.commit(Transaction.empty().put("a", "2")).getLeft().verdict()).isEqualTo(Verdict.NOT_RUN);
		standIn.faults().clear();
		assertThat(service.read("a").get()).isEqualTo(row);
	}

	private static void lostBefore(TableService service, TableStandIn standIn) {
		standIn.faults().nextWrites(WriteFault.LOST_BEFORE_WRITE);
		assertUnknown(service, Transaction.empty().put("a", "1"));
		assertThat(service.read("a").get().exists()).isFalse();
	}

	private static void lostAfter(TableService service, TableStandIn standIn) {
		standIn.faults().nextWrites(WriteFault.NONE, WriteFault.LOST_AFTER_WRITE);
		put(service, "a", "1");
		assertUnknown(service, Transaction.empty().put("a", "2"));
		assertThat(service.read("a").get().value()).isEqualTo("2");
	}

	private static void held(TableService service, TableStandIn standIn) {
		standIn.faults().nextWrites(WriteFault.HELD);
		assertUnknown(service, Transaction.empty().require("a", Row.ABSENT).put("a", "1"));
		assertThat(service.read("a").get().exists()).isFalse();
		assertThat(standIn.applyHeld()).isEqualTo(1);
		assertThat(service.read("a").get().value()).isEqualTo("1");
	}

	private static void heldWithFailedCondition(TableService service, TableStandIn standIn) {
		standIn.faults().nextWrites(WriteFault.HELD);
		assertUnknown(service, Transaction.empty().require("a", Row.ABSENT).put("a", "1"));
		Row row = put(service, "a", "2");
		assertThat(standIn.applyHeld()).isZero();
		assertThat(service.read("a").get()).isEqualTo(row);
	}

	private static void stale(TableService service, TableStandIn standIn) {
		Row earlier = put(service, "a", "1");
		standIn.faults().staleReads(true);
		Row later = put(service, "a", "2");
		assertThat(service.read("a").get()).isEqualTo(earlier);
		assertThat(service.scan("").get()).containsExactly(earlier);
		standIn.faults().staleReads(false);
		assertThat(service.read("a").get()).isEqualTo(later);
	}

	private static void assertUnknown(TableService service, Transaction transaction) {
		assertThat(service.commit(transaction).getLeft().code()).isEqualTo(ErrorCode.STORE_UNKNOWN);
	}

	private static Row put(TableService service, String key, String value) {
		CommitResult result = service.commit(Transaction.empty().put(key, value)).get();
		Seq<Row> rows = ((CommitResult.Committed) result).rows();
		return rows.head();
	}

	record Case(String description, BiConsumer<TableService, TableStandIn> check) {

		@Override
		public String toString() {
			return this.description;
		}

	}

}
