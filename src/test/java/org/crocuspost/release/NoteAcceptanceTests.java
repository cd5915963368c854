package org.crocuspost.release;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import org.crocuspost.configuration.Configuration;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Verdict;
import org.crocuspost.platform.table.TableKeys;
import org.crocuspost.standin.WriteFault;
import org.crocuspost.standin.objects.ObjectStandIn;
import org.crocuspost.standin.table.TableStandIn;
import org.crocuspost.time.VirtualTime;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class NoteAcceptanceTests {

	private final TableStandIn table = new TableStandIn();

	private final ObjectStandIn objects = new ObjectStandIn();

	private final List<Configuration> accepted = Collections.synchronizedList(new ArrayList<>());

	private final NoteAcceptance acceptance = acceptance();

	@Test
	void noteBecomesTheNextVersion() {
		assertThat(this.acceptance.submit(NoteTexts.addService("first", 0, "shop")))
			.isEqualTo(new NoteOutcome.Accepted("first", 1, false));
		assertThat(head()).extracting(ConfigurationHead::version, ConfigurationHead::noteId)
			.containsExactly(1L, "first");
		assertThat(inForce().services()).containsOnlyKeys("shop");
		assertThat(this.accepted).containsExactly(inForce());
	}

	@Test
	void failureDomainChangesItsRow() {
		this.acceptance.submit(NoteTexts.domainOut("out", 0, "zone-a"));
		long versionOut = domainRowVersion();
		this.acceptance.submit(NoteTexts.note("back", 1, "\"domains\": {\"back\": [\"zone-a\"]}"));
		assertThat(versionOut).isPositive();
		assertThat(domainRowVersion()).isGreaterThan(versionOut);
		assertThat(inForce().domainsOut()).isEmpty();
	}

	@Test
	void sameNoteAgainIsTheSameNote() {
		this.acceptance.submit(NoteTexts.addService("first", 0, "shop"));
		this.acceptance.submit(NoteTexts.addService("second", 1, "desk"));
		String withComment = "// again\n" + NoteTexts.addService("first", 0, "shop");
		assertThat(this.acceptance.submit(withComment)).isEqualTo(new NoteOutcome.Accepted("first", 1, true));
		assertThat(head().version()).isEqualTo(2);
	}

	@Test
	void otherNoteUnderTheSameIdentityIsRefused() {
		this.acceptance.submit(NoteTexts.addService("first", 0, "shop"));
		assertThat(this.acceptance.submit(NoteTexts.addService("first", 1, "desk")))
			.isEqualTo(new NoteOutcome.Refused(ErrorCode.NOTE_ID_TAKEN.with("first", 1)));
		assertThat(head().version()).isEqualTo(1);
	}

	@Test
	void outdatedNoteIsToldWhatChanged() {
		this.acceptance.submit(NoteTexts.addService("first", 0, "shop"));
		this.acceptance.submit(NoteTexts.domainOut("second", 1, "zone-a"));
		this.acceptance.submit(NoteTexts.addService("third", 2, "desk"));
		assertThat(this.acceptance.submit(NoteTexts.addService("late", 1, "till")))
			.isInstanceOfSatisfying(NoteOutcome.Outdated.class, (outdated) -> {
				assertThat(outdated.version()).isEqualTo(3);
				assertThat(outdated.notes()).containsExactly("third", "second");
				assertThat(outdated.changes()).extracting(ConfigurationDifference.Change::name)
					.containsExactly("desk", "zone-a");
			});
	}

	@Test
	void noteForVersionThatDoesNotExistIsRefused() {
		assertThat(this.acceptance.submit(NoteTexts.addService("early", 7, "shop")))
			.isInstanceOfSatisfying(NoteOutcome.Outdated.class, (outdated) -> assertThat(outdated.version()).isZero());
	}

	@ParameterizedTest
	@ValueSource(ints = { 2, 10 })
	void raceHasOneWinner(int operators) throws Exception {
		CyclicBarrier start = new CyclicBarrier(operators);
		ExecutorService executor = Executors.newFixedThreadPool(operators);
		List<Future<NoteOutcome>> futures = new ArrayList<>();
		for (int index = 0; index < operators; index++) {
			String text = NoteTexts.addService("note-" + index, 0, "service-" + index);
			NoteAcceptance entry = acceptance();
			Callable<NoteOutcome> submit = () -> {
				start.await();
				return entry.submit(text);
			};
			futures.add(executor.submit(submit));
		}
		List<NoteOutcome> outcomes = new ArrayList<>();
		for (Future<NoteOutcome> future : futures) {
			outcomes.add(future.get());
		}
		executor.shutdown();
		assertThat(outcomes).filteredOn(NoteOutcome.Accepted.class::isInstance).hasSize(1);
		assertThat(outcomes).filteredOn(NoteOutcome.Outdated.class::isInstance)
			.hasSize(operators - 1)
			.allSatisfy(
					(outcome) -> assertThat(((NoteOutcome.Outdated) outcome).notes()).containsExactly(head().noteId()));
		assertThat(inForce().services()).hasSize(1);
	}

	@ParameterizedTest
	@ValueSource(strings = { "LOST_BEFORE_WRITE", "LOST_AFTER_WRITE", "HELD" })
	void lostAnswerIsResolved(WriteFault fault) {
		this.table.faults().nextWrites(fault);
		assertThat(this.acceptance.submit(NoteTexts.addService("first", 0, "shop")))
			.isInstanceOfSatisfying(NoteOutcome.Accepted.class, (outcome) -> assertThat(outcome.version()).isOne());
		assertThat(this.table.applyHeld()).isZero();
		assertThat(head().version()).isEqualTo(1);
		assertThat(this.accepted).hasSize(1);
	}

	@Test
	void unsureSubmitIsUnknownUntilSubmittedAgain() {
		this.table.faults().nextWrites(WriteFault.HELD, WriteFault.HELD, WriteFault.HELD);
		assertThat(this.acceptance.submit(NoteTexts.addService("first", 0, "shop")))
			.isInstanceOfSatisfying(NoteOutcome.Unknown.class, (unknown) -> {
				assertThat(unknown.failure().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
				assertThat(unknown.resolution()).contains("submit the same note again");
			});
		assertThat(this.acceptance.submit(NoteTexts.addService("first", 0, "shop")))
			.isEqualTo(new NoteOutcome.Accepted("first", 1, false));
		assertThat(this.table.applyHeld()).isZero();
		assertThat(head().version()).isEqualTo(1);
	}

	@Test
	void loserOfRaceWithLostAnswerIsToldThatItLost() {
		NoteAcceptance other = acceptance();
		this.table.faults().nextWrites(WriteFault.HELD, WriteFault.HELD, WriteFault.HELD);
		this.acceptance.submit(NoteTexts.addService("first", 0, "shop"));
		assertThat(other.submit(NoteTexts.addService("second", 0, "desk"))).isInstanceOf(NoteOutcome.Accepted.class);
		assertThat(this.table.applyHeld()).isZero();
		assertThat(this.acceptance.submit(NoteTexts.addService("first", 0, "shop")))
			.isInstanceOf(NoteOutcome.Outdated.class);
		assertThat(inForce().services()).containsOnlyKeys("desk");
	}

	@Test
	void storeThatIsDownRefusesWithoutEffect() {
		this.table.faults().down(true);
		assertRefusedWithoutEffect();
		this.table.faults().down(false);
		this.objects.faults().down(true);
		assertRefusedWithoutEffect();
		this.objects.faults().down(false);
		assertThat(this.acceptance.submit(NoteTexts.addService("first", 0, "shop")))
			.isEqualTo(new NoteOutcome.Accepted("first", 1, false));
	}

	@Test
	void laggingReplicaDoesNotMisleadAcceptance() {
		this.table.faults().staleReads(true);
		this.table.read(TableKeys.CONFIGURATION_HEAD);
		this.acceptance.submit(NoteTexts.addService("first", 0, "shop"));
		assertThat(this.acceptance.submit(NoteTexts.addService("first", 0, "shop")))
			.isEqualTo(new NoteOutcome.Accepted("first", 1, true));
		assertThat(this.acceptance.submit(NoteTexts.addService("second", 1, "desk")))
			.isEqualTo(new NoteOutcome.Accepted("second", 2, false));
		assertThat(this.acceptance.submit(NoteTexts.addService("late", 0, "till")))
			.isInstanceOf(NoteOutcome.Outdated.class);
	}

	private void assertRefusedWithoutEffect() {
		assertThat(this.acceptance.submit(NoteTexts.addService("first", 0, "shop"))).isInstanceOfSatisfying(
				NoteOutcome.Refused.class,
				(refused) -> assertThat(refused.failure().verdict()).isEqualTo(Verdict.NOT_RUN));
	}

	private NoteAcceptance acceptance() {
		return new NoteAcceptance(this.table, new SnapshotStore(this.objects), NoteRules.ANY_FAILURE_DOMAIN,
				new VirtualTime(Instant.EPOCH), this.accepted::add);
	}

	private ConfigurationHead head() {
		return ConfigurationHead.of(this.table.read(TableKeys.CONFIGURATION_HEAD).get());
	}

	private Configuration inForce() {
		return new SnapshotStore(this.objects).load(head()).get();
	}

	private long domainRowVersion() {
		return this.table.read(TableKeys.domain("zone-a")).get().version();
	}

}
