package org.crocuspost.scheduler;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.vavr.collection.Seq;
import io.vavr.control.Either;
import org.crocuspost.configuration.Configuration;
import org.crocuspost.configuration.ConfigurationSource;
import org.crocuspost.error.Failure;
import org.crocuspost.json.Json;
import org.crocuspost.platform.table.Row;
import org.crocuspost.platform.table.TableKeys;
import org.crocuspost.platform.table.TableService;
import org.crocuspost.platform.table.Transaction;

/**
 * Holds the configuration on which one scheduling round acts, and the row versions that
 * prove that it is in force.
 *
 * @param configuration the newest configuration that this process has seen
 * @param head the head row, which holds the version in force
 * @param domainVersions the versions of the rows of failure domains
 * @param current whether the configuration has the version in the head row
 */
record RoundConfiguration(Configuration configuration, Row head, Map<String, Long> domainVersions, boolean current) {

	private static final String VERSION_FIELD = "version";

	/**
	 * Reads the head row and the rows of the failure domains, then takes the newest
	 * configuration from the source.
	 * @param table the table service
	 * @param source the source of the newest configuration
	 * @return the configuration, or the failure of the store
	 */
	static Either<Failure, RoundConfiguration> read(TableService table, ConfigurationSource source) {
		return table.scan(TableKeys.DOMAINS)
			.flatMap((domains) -> table.read(TableKeys.CONFIGURATION_HEAD)
				.map((head) -> of(domains, head, source.current())));
	}

	private static RoundConfiguration of(Seq<Row> domains, Row head, Configuration configuration) {
		Map<String, Long> versions = new HashMap<>();
		domains.forEach((row) -> versions.put(row.key(), row.version()));
		return new RoundConfiguration(configuration, head, versions, version(head) == configuration.version());
	}

	private static long version(Row head) {
		if (!head.exists()) {
			return 0;
		}
		try {
			return Json.mapper().readTree(head.value()).path(VERSION_FIELD).asLong(-1);
		}
		catch (JsonProcessingException ex) {
			return -1;
		}
	}

	/**
	 * Returns whether a job is declared, or may be declared as far as this process can
	 * determine.
	 * @param job the name of the job
	 * @return true if the job is declared or this process does not have the configuration
	 * in force
	 */
	boolean mayDeclare(String job) {
		return !this.current || this.configuration.jobs().containsKey(job);
	}

	/**
	 * Returns the transaction conditions under which a task transition may be based on
	 * the configuration.
	 * @return the conditions; none if this process does not have the configuration in
	 * force
	 */
	List<Transaction.Condition> transitionConditions() {
		return this.current ? List.of(new Transaction.Condition(TableKeys.CONFIGURATION_HEAD, this.head.version()))
				: List.of();
	}

	/**
	 * Returns the transaction conditions under which a task may be claimed.
	 * @param domain the failure domain of the worker
	 * @return the conditions
	 */
	List<Transaction.Condition> claimConditions(String domain) {
		List<Transaction.Condition> conditions = new ArrayList<>(transitionConditions());
		String key = TableKeys.domain(domain);
		conditions.add(new Transaction.Condition(key, this.domainVersions.getOrDefault(key, Row.ABSENT)));
		return conditions;
	}

}
