package org.crocuspost.lead;

import java.util.Optional;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the stored form of the leader's row.
 */
class LeaderRecordTests {

	/**
	 * Guards against a row that names another leader, or none, because of a blank in the
	 * name of a host.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "edge-1", "an edge", "", " ", "edge ", "{", "two\nlines", "edge 1 2", "edge @1/2",
			"edge @1/2 @", "edge @", " @" })
	void rowOfTheLeaderKeepsItsName(String name) {
		LeaderRecord record = new LeaderRecord(5, 17, name);
		assertThat(LeaderRecord.read(record.write())).isEqualTo(record);
	}

	@ParameterizedTest
	@CsvSource({ "edge-1, 130950, 41000", "'', 0, 0", "edge-1, 9007199254740992, 0", "an edge, 1, 2", "edge @1/2, 3, 4",
			"'edge @', 3, 4" })
	void rowOfTheLeaderKeepsItsDeadlines(String name, long holder, long former) {
		LeaderRecord record = new LeaderRecord(5, 17, name, Optional.of(new ExtensionDeadlines(holder, former)));
		assertThat(LeaderRecord.read(record.write())).isEqualTo(record);
	}

	/**
	 * Guards against a deadline that no leader has recorded, after which a task would
	 * start a second time.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "5 17 edge-1 @130950", "5 17 edge-1 @130950/", "5 17 edge-1 @-1/2", "5 17 edge-1 @1/2 3",
			"5 17 edge-1 @", "5 17 edge-1 @1.5/2" })
	void malformedDeadlinesAreNoDeadlines(String row) {
		assertThat(LeaderRecord.read(row).deadlines()).isEmpty();
	}

}
