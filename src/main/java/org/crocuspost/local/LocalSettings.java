package org.crocuspost.local;

import java.net.InetSocketAddress;
import java.net.URI;

import org.crocuspost.platform.http.HttpLimits;
import org.crocuspost.platform.http.PlatformUrl;
import org.crocuspost.settings.AgentSettings;
import org.crocuspost.settings.DeploymentSettings;
import org.crocuspost.settings.DeploymentSettings.ControlProcess;
import org.crocuspost.settings.DeploymentSettings.WorkerHost;
import org.crocuspost.settings.EntrySettings;
import org.crocuspost.settings.PlatformSettings;
import org.crocuspost.settings.SchedulerSettings;

/**
 * Derives the settings of each process from those of a deployment.
 */
final class LocalSettings {

	private static final InetSocketAddress FREE_PORT = new InetSocketAddress("127.0.0.1", 0);

	/**
	 * Placeholder for the URLs of the platform in the settings. It is never called,
	 * because the stand-ins are called in memory.
	 */
	private static final PlatformUrl UNUSED_PLATFORM_URL = PlatformUrl.of("http://127.0.0.1:1");

	private static final PlatformSettings PLATFORM = new PlatformSettings(UNUSED_PLATFORM_URL, UNUSED_PLATFORM_URL,
			HttpLimits.DEFAULT);

	private final DeploymentSettings deployment;

	LocalSettings(DeploymentSettings deployment) {
		this.deployment = deployment;
	}

	EntrySettings entry(ControlProcess entry, boolean first) {
		EntrySettings.Addresses addresses = new EntrySettings.Addresses(first ? this.deployment.callers() : FREE_PORT,
				first ? this.deployment.operators() : FREE_PORT, FREE_PORT, FREE_PORT);
		return new EntrySettings(entry.name(), entry.failureDomain(), this.deployment.failureDomains(), addresses,
				this.deployment.secret(), this.deployment.operatorToken(), PLATFORM, EntrySettings.Limits.DEFAULT,
				EntrySettings.Times.DEFAULT);
	}

	SchedulerSettings scheduler(ControlProcess scheduler) {
		return new SchedulerSettings(scheduler.name(), scheduler.failureDomain(), this.deployment.failureDomains(),
				new SchedulerSettings.Addresses(FREE_PORT, FREE_PORT), this.deployment.secret(), PLATFORM,
				SchedulerSettings.Times.DEFAULT);
	}

	AgentSettings agent(WorkerHost host, URI endpointUrl) {
		DeploymentSettings.EndpointStandIn declared = host.endpoint();
		AgentSettings.Endpoint endpoint = new AgentSettings.Endpoint(declared.id(), declared.service(), endpointUrl,
				declared.slots(), declared.connections(), AgentSettings.Endpoint.DEFAULT_QUEUE);
		AgentSettings.Worker worker = new AgentSettings.Worker(host.name(), UNUSED_PLATFORM_URL, host.capacity(),
				host.reservedForService());
		return new AgentSettings(host.name(), host.failureDomain(), host.rack(), FREE_PORT, this.deployment.secret(),
				PLATFORM, endpoint, worker, AgentSettings.DEFAULT_ENTRY_CONNECTIONS, AgentSettings.Times.DEFAULT);
	}

}
