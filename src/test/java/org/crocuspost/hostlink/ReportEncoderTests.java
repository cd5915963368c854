package org.crocuspost.hostlink;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;

import com.google.protobuf.InvalidProtocolBufferException;
import org.crocuspost.wire.EndedTask;
import org.crocuspost.wire.HostReport;
import org.crocuspost.wire.RefusedStart;
import org.crocuspost.wire.RunningTask;
import org.crocuspost.wire.TaskName;
import org.crocuspost.wire.WorkerDescription;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the decoder restores what the agent reported, and that the size of a report
 * depends on what has changed.
 */
class ReportEncoderTests {

	private static final WorkerDescription WORKER = WorkerDescription.newBuilder().setId("worker").setBorn(7).build();

	private final ReportEncoder encoder = new ReportEncoder();

	private final ReportDecoder decoder = new ReportDecoder();

	private static TaskName task(int number) {
		return TaskName.newBuilder().setJob("0123456789abcdef").setStep(1).setIndex(number).build();
	}

	private static RunningTask run(int number, int progress) {
		return RunningTask.newBuilder()
			.setTask(task(number))
			.setRun(1)
			.setCheckpoint("00000bb87a21d94b")
			.setProgress(progress)
			.setLoad(1_500)
			.setPace(100)
			.build();
	}

	private static EndedTask end(long number) {
		return EndedTask.newBuilder().setNumber(number).setTask(task((int) number)).setRun(1).setKind("done").build();
	}

	private static HostReport report(int runs, int progress) {
		return HostReport.newBuilder()
			.setHost("host")
			.setWorker(WORKER)
			.addAllRunning(IntStream.range(0, runs).mapToObj((number) -> run(number, progress)).toList())
			.build();
	}

	private static HostReport withoutEntryNumbers(HostReport report) {
		HostReport.Builder plain = report.toBuilder().clearSequence().clearRunning().clearPending();
		report.getRunningList().forEach((run) -> plain.addRunning(run.toBuilder().clearEntry()));
		report.getPendingList().forEach((run) -> plain.addPending(run.toBuilder().clearEntry()));
		return plain.build();
	}

	private Optional<HostReport> transfer(HostReport report) {
		return this.decoder.decode(this.encoder.encode(report)).map(ReportEncoderTests::withoutEntryNumbers);
	}

	@Test
	void unchangedRunsCostNothing() {
		HostReport first = this.encoder.encode(report(200, 10));
		HostReport second = this.encoder.encode(report(200, 10));
		assertThat(first.getSerializedSize()).isGreaterThan(5_000);
		assertThat(second.getSerializedSize()).isLessThan(40);
	}

	@Test
	void sizeDependsOnTheChangedRunsOnly() {
		this.encoder.encode(report(200, 10));
		HostReport changed = report(200, 10).toBuilder().setRunning(17, run(17, 11)).addEnded(end(1)).build();
		HostReport encoded = this.encoder.encode(changed);
		assertThat(encoded.getUpdatedList()).hasSize(1);
		assertThat(encoded.getUpdated(0).getCheckpoint()).isEmpty();
		assertThat(encoded.getEndedList()).hasSize(1);
		assertThat(encoded.getSerializedSize()).isLessThan(120);
	}

	/**
	 * A leader takes a report without this age for one of an agent that does not know it,
	 * and waits up to a lease longer.
	 */
	@Test
	void ageOfTheLeaseBasisIsSentInEveryReport() throws InvalidProtocolBufferException {
		HostReport whole = report(2, 0).toBuilder().setLeaseBasisAgeMillis(1).build();
		HostReport withoutWorker = HostReport.newBuilder().setHost("host").setLeaseBasisAgeMillis(9_000).build();
		for (HostReport report : List.of(whole, whole.toBuilder().setLeaseBasisAgeMillis(500).build(), withoutWorker,
				withoutWorker.toBuilder().setLeaseBasisAgeMillis(Long.MAX_VALUE).build())) {
			byte[] sent = this.encoder.encode(report).toByteArray();
			assertThat(this.decoder.decode(HostReport.parseFrom(sent)).map(HostReport::getLeaseBasisAgeMillis))
				.contains(report.getLeaseBasisAgeMillis());
		}
	}

	@Test
	void anEndIsSentOnceAndListedUntilItIsRecorded() {
		transfer(report(1, 0).toBuilder().addEnded(end(1)).build());
		HostReport next = report(1, 0).toBuilder().addEnded(end(1)).addEnded(end(2)).build();
		assertThat(transfer(next).orElseThrow().getEndedList()).containsExactly(end(1), end(2));
		this.decoder.endsRecorded(WORKER.getBorn(), 1);
		HostReport last = report(1, 0).toBuilder().addEnded(end(2)).build();
		assertThat(this.encoder.encode(last).getEndedList()).isEmpty();
	}

	@Test
	void aNumberOfAnEarlierIncarnationRemovesNoEnds() {
		transfer(report(1, 0).toBuilder().addEnded(end(1)).build());
		this.decoder.endsRecorded(WORKER.getBorn() - 1, 1);
		assertThat(transfer(report(1, 0)).orElseThrow().getEndedList()).containsExactly(end(1));
	}

	@Test
	void anotherIncarnationOfTheWorkerIsReportedWhole() {
		transfer(report(3, 0).toBuilder().addEnded(end(5)).build());
		HostReport next = report(1, 0).toBuilder().setWorker(WORKER.toBuilder().setBorn(8)).addEnded(end(1)).build();
		assertThat(transfer(next)).contains(next);
	}

	@Test
	void aMissingReportIsNoticed() {
		transfer(report(3, 0));
		this.encoder.encode(report(2, 0));
		assertThat(this.decoder.decode(this.encoder.encode(report(1, 0)))).isEmpty();
	}

	@Test
	void changesWithoutTheirWholeReportAreNoticed() {
		this.encoder.encode(report(3, 0));
		assertThat(this.decoder.decode(this.encoder.encode(report(3, 1)))).isEmpty();
	}

	@Test
	void reportOfAnAgentThatNumbersNoReportsIsTakenAsWhole() {
		assertThat(this.decoder.decode(report(2, 0))).contains(report(2, 0));
		assertThat(this.decoder.decode(report(1, 0))).contains(report(1, 0));
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void decodedReportsEqualTheOriginals(long seed) {
		Random random = new Random(seed);
		List<EndedTask> ends = new ArrayList<>();
		long newestEnd = 0;
		long recorded = 0;
		long born = 1;
		for (int round = 0; round < 300; round++) {
			if (random.nextInt(40) == 0) {
				born++;
				ends.clear();
				newestEnd = 0;
				recorded = 0;
			}
			for (int count = random.nextInt(3); count > 0; count--) {
				ends.add(end(++newestEnd));
			}
			HostReport.Builder report = HostReport.newBuilder()
				.setHost("host")
				.setLeaseStamp(round)
				.setWorkerAnswers(random.nextBoolean())
				.addAllEnded(ends);
			if (random.nextInt(50) > 0) {
				report.setWorker(WORKER.toBuilder().setBorn(born).setDraining(random.nextInt(5) == 0));
			}
			for (int number = 0; number < 12; number++) {
				int list = random.nextInt(4);
				if (list == 0) {
					report.addPending(run(number, 0));
				}
				else if (list > 1) {
					report.addRunning(run(number, random.nextInt(3)));
				}
			}
			if (random.nextInt(10) == 0) {
				report.addRefused(RefusedStart.newBuilder().setTask(task(99)).setReason("room"));
			}
			HostReport original = report.build();
			HostReport decoded = transfer(original).orElseThrow();
			assertThat(decoded.getRunningList()).containsExactlyInAnyOrderElementsOf(original.getRunningList());
			assertThat(decoded.getPendingList()).containsExactlyInAnyOrderElementsOf(original.getPendingList());
			assertThat(decoded.toBuilder().clearRunning().clearPending().build())
				.isEqualTo(original.toBuilder().clearRunning().clearPending().setWorker(original.getWorker()).build());
			if (random.nextInt(3) == 0) {
				recorded += random.nextInt((int) (newestEnd - recorded) + 1);
				long number = recorded;
				ends.removeIf((end) -> end.getNumber() <= number);
				this.decoder.endsRecorded(original.getWorker().getBorn(), recorded);
				if (!original.hasWorker()) {
					this.decoder.endsRecorded(born, recorded);
				}
			}
		}
	}

}
