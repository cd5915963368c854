package org.crocuspost.lead;

import org.junit.jupiter.params.ParameterizedTest;
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
	@ValueSource(strings = { "edge-1", "an edge", "", " ", "edge ", "{", "two\nlines", "edge 1 2" })
	void rowOfTheLeaderKeepsItsName(String name) {
		LeaderRecord record = new LeaderRecord(5, 17, name);
		assertThat(LeaderRecord.read(record.write())).isEqualTo(record);
	}

}
