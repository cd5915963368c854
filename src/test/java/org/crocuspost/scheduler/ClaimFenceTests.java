package org.crocuspost.scheduler;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

import io.vavr.control.Either;
import org.crocuspost.bench.batch.BatchDeployment;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.json.Json;
import org.crocuspost.platform.table.Row;
import org.crocuspost.platform.table.TableKeys;
import org.crocuspost.platform.table.Transaction;
import org.crocuspost.shard.ShardToken;
import org.crocuspost.standin.table.TableStandIn;
import org.crocuspost.standin.worker.TaskBehavior;
import org.crocuspost.task.TaskRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against committing a stale claim: the lease, the configuration, the row of the
 * failure domain or the row of the task changes between the decision and the commit.
 */
class ClaimFenceTests {

	private static final String DOMAIN = "south";

	private static final String TASK = "report/0";

	private final BatchDeployment deployment = new BatchDeployment(List.of(DOMAIN),
			(start) -> new TaskBehavior(Duration.ofSeconds(1), SchedulerFixtures.SMALL, false));

	static Stream<Change> changes() {
		return Stream.of(
				new Change("another scheduler took the lease",
						(deployment) -> put(deployment.table(), TableKeys.shard(DOMAIN))),
				new Change("the failure domain was taken out of service",
						(deployment) -> deployment.configuration().takeOutOfService(DOMAIN)),
				new Change("the job was withdrawn",
						(deployment) -> deployment.configuration().withdraw(Set.of("report"))),
				new Change("the row of the failure domain was written",
						(deployment) -> put(deployment.table(), "domain/" + DOMAIN)),
				new Change("another scheduler claimed the task",
						(deployment) -> put(deployment.table(), TableKeys.task(TASK))));
	}

	@ParameterizedTest
	@MethodSource("changes")
	void claimIsFencedAfterAChange(Change change) {
		assertThat(claim(change).getLeft().code()).isEqualTo(ErrorCode.FENCED);
	}

	@Test
	void claimSucceedsIfNothingChanged() {
		Change nothing = new Change("nothing", (unchanged) -> {
		});
		assertThat(claim(nothing).isRight()).isTrue();
	}

	private Either<Failure, List<TaskChange>> claim(Change change) {
		TableStandIn table = this.deployment.table();
		this.deployment.configuration().declare(SchedulerFixtures.job("report", 1, SchedulerFixtures.SMALL));
		put(table, TableKeys.shard(DOMAIN));
		ShardToken token = new ShardToken(DOMAIN, 1, table.read(TableKeys.shard(DOMAIN)).get().version());
		RoundConfiguration configuration = RoundConfiguration.read(table, this.deployment.configuration()).get();
		TaskRecord declared = TaskRecord.unclaimed(TASK, "report", 1);
		TaskChange claim = TaskChange.of(new CachedTask(declared, Row.ABSENT),
				declared.claim(DOMAIN, 1, "south-w0", SchedulerFixtures.SMALL));
		change.action().apply(this.deployment);
		return new TaskTable(table).commit(token, List.of(claim), configuration.claimConditions(DOMAIN));
	}

	private static void put(TableStandIn table, String key) {
		String value = key.startsWith(TableKeys.TASKS) ? Json.write(TaskRecord.unclaimed(TASK, "report", 1)) : "{}";
		table.commit(Transaction.empty().put(key, value));
	}

	@FunctionalInterface
	interface Action {

		void apply(BatchDeployment deployment);

	}

	record Change(String description, Action action) {

		@Override
		public String toString() {
			return this.description;
		}

	}

}
