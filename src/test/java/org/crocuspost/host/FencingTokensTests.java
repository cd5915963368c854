package org.crocuspost.host;

import java.time.Instant;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that fencing tokens order leaders first, and incarnations of an agent second.
 */
class FencingTokensTests {

	private static final Instant START = Instant.parse("2026-12-06T00:00:00Z");

	private static FencingTokens following(long epoch, Instant start) {
		FencingTokens tokens = new FencingTokens(start);
		tokens.followLeader(epoch);
		return tokens;
	}

	/**
	 * An agent of the version before has tokens without an epoch.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 2_047, 2_048, 1_000_000, 2_097_150 })
	void agentOfFormerLeaderNeverReachesTokensOfNextLeader(long epoch) {
		FencingTokens former = following(epoch, START.plusSeconds(1_000_000_000));
		long next = following(epoch + 1, START).current();
		for (int attempt = 0; attempt < 1_000; attempt++) {
			former.raiseAfterRejection();
			former.beginWorkerIncarnation();
		}
		assertThat(former.current()).isLessThan(FencingTokens.lowest(epoch + 1)).isGreaterThan(START.toEpochMilli());
		assertThat(next).isGreaterThanOrEqualTo(FencingTokens.lowest(epoch + 1));
	}

	@Test
	void raisesStopBelowNextEpoch() {
		FencingTokens tokens = following(3, Instant.ofEpochMilli((1L << 42) - 15_000));
		for (int attempt = 0; attempt < 3; attempt++) {
			tokens.raiseAfterRejection();
		}
		assertThat(tokens.current()).isEqualTo(FencingTokens.lowest(4) - 1);
	}

	@Test
	void laterIncarnationOfAgentHasHigherTokenUnderTheSameLeader() {
		FencingTokens former = following(5, START);
		former.beginWorkerIncarnation();
		assertThat(following(5, START.plusMillis(500)).current()).isGreaterThan(former.current());
	}

	/**
	 * An agent that followed a former leader was rejected many times. Its next
	 * incarnation must not be rejected for that under the present leader.
	 */
	@Test
	void raisesForAFormerLeaderAreNotCarriedToTheNextLeader() {
		FencingTokens former = following(1, START);
		for (int attempt = 0; attempt < 100; attempt++) {
			former.raiseAfterRejection();
		}
		former.beginWorkerIncarnation();
		former.followLeader(2);
		assertThat(following(2, START.plusMillis(500)).current()).isGreaterThan(former.current());
		assertThat(former.current()).isGreaterThan(following(2, START).current());
	}

	@Test
	void knownLeaderIsNotFollowedAgain() {
		FencingTokens tokens = following(5, START);
		long before = tokens.current();
		assertThat(tokens.followLeader(5)).isFalse();
		assertThat(tokens.followLeader(4)).isFalse();
		assertThat(tokens.current()).isEqualTo(before);
		assertThat(FencingTokens.epochOf(before)).isEqualTo(5);
	}

	/**
	 * The epochs of a store that was emptied start anew, while workers still remember
	 * higher tokens.
	 */
	@Test
	void skippedEpochsReachAnyTokenWithinAFewAttempts() {
		FencingTokens tokens = following(1, START);
		long seen = following(1_500_000, START.plusSeconds(60)).current();
		int attempts = 0;
		while (tokens.current() < seen) {
			tokens.skipEpochs();
			attempts++;
		}
		assertThat(attempts).isLessThanOrEqualTo(22);
		long skipped = tokens.current();
		tokens.followLeader(2);
		assertThat(tokens.current()).isEqualTo(skipped);
	}

	/**
	 * The worker does not tell leaders of such epochs apart, which must not be claimed
	 * either.
	 */
	@Test
	void epochsBeyondTheLastShareTheirTokens() {
		FencingTokens tokens = following(1L << 40, START);
		assertThat(tokens.current()).isPositive();
		assertThat(FencingTokens.epochOf(tokens.current())).isLessThan(1L << 40);
		assertThat(tokens.current()).isGreaterThanOrEqualTo(FencingTokens.lowest(1L << 40));
	}

	/**
	 * The worker accepts a token that it has seen.
	 */
	@Test
	void skippedEpochsReachTheHighestToken() {
		FencingTokens tokens = following(1L << 40, START);
		for (int attempt = 0; attempt < 3; attempt++) {
			tokens.skipEpochs();
			assertThat(tokens.current()).isEqualTo(Long.MAX_VALUE);
			tokens.raiseAfterRejection();
			tokens.beginWorkerIncarnation();
			assertThat(tokens.current()).isEqualTo(Long.MAX_VALUE);
		}
	}

}
