package org.crocuspost.membership;

import java.time.Duration;
import java.util.List;

import org.crocuspost.distribution.ConfirmationSummary;
import org.crocuspost.platform.table.Transaction;
import org.crocuspost.standin.StoreCounts;
import org.crocuspost.standin.WriteFault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

class MemberLeaseTests {

	private static final String KEY = "member/entry/e1";

	private static final String ADDRESS = "10.0.0.1:7400";

	private final MembershipFixture fixture = new MembershipFixture();

	@Test
	void rowIsWrittenAtOnceAndRenewed() {
		MemberLease lease = this.fixture.join(MembershipFixture.entry("e1", "i1"), ADDRESS);
		this.fixture.time.advance(Duration.ZERO);
		assertThat(lease.held()).isTrue();
		assertThat(this.fixture.row(KEY).address()).isEqualTo(ADDRESS);
		long first = this.fixture.row(KEY).renewal();
		this.fixture.time.advance(Duration.ofSeconds(30));
		assertThat(this.fixture.row(KEY).renewal() - first).isEqualTo(10);
	}

	@Test
	void confirmationsAreWrittenSoonButNotMoreOftenThanAllowed() {
		MemberLease lease = this.fixture.join(MembershipFixture.entry("e1", "i1"), ADDRESS);
		this.fixture.time.advance(Duration.ofSeconds(10));
		StoreCounts before = this.fixture.table.counts();
		for (int change = 1; change <= 100; change++) {
			this.fixture.summary = new ConfirmationSummary(change, change, List.of());
			lease.confirmationsChanged();
			this.fixture.time.advance(Duration.ofMillis(50));
		}
		this.fixture.time.advance(MembershipFixture.SETTINGS.minimumWriteInterval());
		assertThat(this.fixture.row(KEY).confirmations().version()).isEqualTo(100);
		assertThat(this.fixture.table.counts().since(before).writes()).isLessThanOrEqualTo(12);
	}

	@Test
	void laterProcessTakesTheRowAndTheEarlierNeverWritesAgain() {
		MemberLease earlier = this.fixture.join(MembershipFixture.entry("e1", "i1"), ADDRESS);
		this.fixture.time.advance(Duration.ofSeconds(10));
		MemberLease later = this.fixture.join(MembershipFixture.entry("e1", "i2"), "10.0.0.2:7400");
		this.fixture.time.advance(Duration.ofSeconds(60));
		assertThat(earlier.superseded()).isTrue();
		assertThat(later.held()).isTrue();
		earlier.stop();
		assertThat(this.fixture.row(KEY).identity().incarnation()).isEqualTo("i2");
		assertThat(this.fixture.row(KEY).leaving()).isFalse();
	}

	@ParameterizedTest
	@EnumSource(WriteFault.class)
	void lostAnswerToTheFirstWriteDoesNotConfuseTheProcess(WriteFault fault) {
		this.fixture.join(MembershipFixture.entry("e1", "i0"), ADDRESS);
		this.fixture.time.advance(Duration.ofSeconds(1));
		this.fixture.table.faults().nextWrites(WriteFault.NONE, fault);
		MemberLease lease = this.fixture.join(MembershipFixture.entry("e1", "i1"), "10.0.0.2:7400");
		this.fixture.time.advance(Duration.ofSeconds(10));
		this.fixture.table.applyHeld();
		this.fixture.time.advance(Duration.ofSeconds(10));
		assertThat(lease.held()).isTrue();
		assertThat(this.fixture.row(KEY).address()).isEqualTo("10.0.0.2:7400");
	}

	@Test
	void processThatWasReplacedWhileItsFirstAnswerWasLostDoesNotTakeTheRowBack() {
		this.fixture.table.faults().nextWrites(WriteFault.NONE, WriteFault.LOST_AFTER_WRITE);
		MemberLease earlier = this.fixture.join(MembershipFixture.entry("e1", "i1"), ADDRESS);
		this.fixture.time.advance(Duration.ZERO);
		MemberLease later = this.fixture.join(MembershipFixture.entry("e1", "i2"), "10.0.0.2:7400");
		this.fixture.time.advance(Duration.ofSeconds(10));
		assertThat(earlier.superseded()).isTrue();
		assertThat(later.held()).isTrue();
	}

	@Test
	void renewalGoesOnAfterAnOutage() {
		MemberLease lease = this.fixture.join(MembershipFixture.entry("e1", "i1"), ADDRESS);
		this.fixture.time.advance(Duration.ofSeconds(1));
		long before = this.fixture.row(KEY).renewal();
		this.fixture.table.faults().down(true);
		this.fixture.time.advance(Duration.ofMinutes(10));
		assertThat(lease.held()).isTrue();
		this.fixture.table.faults().down(false);
		this.fixture.time.advance(MembershipFixture.SETTINGS.renewal());
		assertThat(this.fixture.row(KEY).renewal()).isGreaterThan(before);
	}

	@Test
	void rowThatWasDeletedIsWrittenAgain() {
		this.fixture.join(MembershipFixture.entry("e1", "i1"), ADDRESS);
		this.fixture.time.advance(Duration.ofSeconds(1));
		this.fixture.table.commit(Transaction.empty().delete(KEY));
		this.fixture.time.advance(Duration.ofSeconds(6));
		assertThat(this.fixture.row(KEY).address()).isEqualTo(ADDRESS);
	}

	@Test
	void stopMarksTheRow() {
		MemberLease lease = this.fixture.join(MembershipFixture.entry("e1", "i1"), ADDRESS);
		this.fixture.time.advance(Duration.ofSeconds(1));
		lease.stop();
		assertThat(this.fixture.row(KEY).leaving()).isTrue();
		this.fixture.time.advance(Duration.ofSeconds(30));
		assertThat(this.fixture.row(KEY).leaving()).isTrue();
	}

}
