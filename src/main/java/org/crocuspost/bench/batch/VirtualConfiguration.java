package org.crocuspost.bench.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.crocuspost.configuration.Configuration;
import org.crocuspost.configuration.ConfigurationListener;
import org.crocuspost.configuration.ConfigurationSource;
import org.crocuspost.configuration.JobSpecification;
import org.crocuspost.configuration.TeamQuota;
import org.crocuspost.platform.table.TableKeys;
import org.crocuspost.platform.table.Transaction;
import org.crocuspost.standin.table.TableStandIn;

/**
 * Applies changes of the configuration as accepted release notes do: writes the
 * configuration head and the rows of changed failure domains in one transaction.
 */
public final class VirtualConfiguration implements ConfigurationSource {

	private final TableStandIn table;

	private final List<ConfigurationListener> listeners = new ArrayList<>();

	private Configuration current = Configuration.EMPTY;

	VirtualConfiguration(TableStandIn table) {
		this.table = table;
	}

	@Override
	public Configuration current() {
		return this.current;
	}

	@Override
	public void addListener(ConfigurationListener listener) {
		this.listeners.add(listener);
	}

	/**
	 * Declares a job.
	 * @param job the job
	 */
	public void declare(JobSpecification job) {
		applyChange((draft) -> draft.jobs.put(job.name(), job));
	}

	/**
	 * Declares several jobs in one release note.
	 * @param jobs the jobs
	 */
	public void declare(List<JobSpecification> jobs) {
		applyChange((draft) -> jobs.forEach((job) -> draft.jobs.put(job.name(), job)));
	}

	/**
	 * Withdraws jobs.
	 * @param names the names of the jobs
	 */
	public void withdraw(Set<String> names) {
		applyChange((draft) -> draft.jobs.keySet().removeAll(names));
	}

	/**
	 * Takes a failure domain out of service.
	 * @param domain the failure domain
	 */
	public void takeOutOfService(String domain) {
		applyChange((draft) -> draft.domainsOut.add(domain));
	}

	/**
	 * Returns a failure domain to service.
	 * @param domain the failure domain
	 */
	public void returnToService(String domain) {
		applyChange((draft) -> draft.domainsOut.remove(domain));
	}

	/**
	 * Sets the quota of a team.
	 * @param quota the quota
	 */
	public void setQuota(TeamQuota quota) {
		applyChange((draft) -> draft.quotas.put(quota.team(), quota));
	}

	private void applyChange(Consumer<Draft> edit) {
		Draft draft = new Draft(this.current);
		edit.accept(draft);
		Configuration next = new Configuration(this.current.version() + 1, "note-" + (this.current.version() + 1),
				this.current.services(), draft.jobs, this.current.endpointsWithdrawn(), draft.domainsOut, draft.quotas);
		Transaction transaction = Transaction.empty()
			.put(TableKeys.CONFIGURATION_HEAD, "{\"version\":" + next.version() + "}");
		Set<String> affectedDomains = new HashSet<>(draft.domainsOut);
		affectedDomains.addAll(this.current.domainsOut());
		for (String domain : affectedDomains) {
			boolean out = draft.domainsOut.contains(domain);
			if (out != this.current.domainsOut().contains(domain)) {
				transaction = transaction.put(TableKeys.domain(domain), "{\"out\":" + out + "}");
			}
		}
		this.table.commit(transaction);
		this.current = next;
		this.listeners.forEach((listener) -> listener.configurationChanged(next));
	}

	private static final class Draft {

		private final Map<String, JobSpecification> jobs;

		private final Set<String> domainsOut;

		private final Map<String, TeamQuota> quotas;

		private Draft(Configuration configuration) {
			this.jobs = new HashMap<>(configuration.jobs());
			this.domainsOut = new HashSet<>(configuration.domainsOut());
			this.quotas = new HashMap<>(configuration.quotas());
		}

	}

}
