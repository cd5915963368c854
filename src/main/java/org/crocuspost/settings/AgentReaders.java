package org.crocuspost.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Optional;

import org.crocuspost.json.JsonFaults;
import org.crocuspost.json.LocatedValue;
import org.crocuspost.json.MemberReader;
import org.crocuspost.platform.http.PlatformUrl;
import org.crocuspost.platform.worker.Resources;

/**
 * Reads the settings of an agent.
 */
final class AgentReaders {

	static final int MAXIMUM_SLOTS = 10_000;

	private static final int MAXIMUM_ENTRY_CONNECTIONS = 100;

	private static final AgentSettings.Endpoint PLACEHOLDER_ENDPOINT = new AgentSettings.Endpoint("", "",
			CommonReaders.PLACEHOLDER_URL, 1, 1, 0);

	private static final AgentSettings.Worker PLACEHOLDER_WORKER = new AgentSettings.Worker("",
			CommonReaders.PLACEHOLDER_PLATFORM_URL, Resources.NONE, Resources.NONE);

	private AgentReaders() {
	}

	static Optional<AgentSettings> agent(LocatedValue value, JsonFaults faults) {
		MemberReader members = MemberReader.of(value, faults);
		String name = members.required("name", CommonReaders.NAME, "");
		String domain = members.required("failureDomain", CommonReaders.NAME, "");
		String rack = members.required("rack", CommonReaders.NAME, "");
		InetSocketAddress monitoring = members.required("monitoring", CommonReaders.ADDRESS,
				CommonReaders.PLACEHOLDER_ADDRESS);
		Secret secret = members.required("secret", CommonReaders.SECRET, CommonReaders.PLACEHOLDER_SECRET);
		PlatformSettings platform = members.required("platform", CommonReaders.PLATFORM,
				CommonReaders.PLACEHOLDER_PLATFORM);
		AgentSettings.Endpoint endpoint = members.required("endpoint", AgentReaders::endpoint, PLACEHOLDER_ENDPOINT);
		AgentSettings.Worker worker = members.required("worker", AgentReaders::worker, PLACEHOLDER_WORKER);
		int entries = members.optional("entryConnections", CommonReaders.count(1, MAXIMUM_ENTRY_CONNECTIONS),
				AgentSettings.DEFAULT_ENTRY_CONNECTIONS);
		AgentSettings.Times times = members.optional("times", AgentReaders::times, AgentSettings.Times.DEFAULT);
		members.reportUnknownMembers();
		return Optional
			.of(new AgentSettings(name, domain, rack, monitoring, secret, platform, endpoint, worker, entries, times));
	}

	private static Optional<AgentSettings.Endpoint> endpoint(LocatedValue value, JsonFaults faults) {
		MemberReader members = MemberReader.of(value, faults);
		String id = members.required("id", CommonReaders.NAME, "");
		String service = members.required("service", CommonReaders.NAME, "");
		URI url = members.required("url", CommonReaders.URL, CommonReaders.PLACEHOLDER_URL);
		int slots = members.optional("slots", CommonReaders.count(1, MAXIMUM_SLOTS),
				AgentSettings.Endpoint.DEFAULT_SLOTS);
		int connections = members.optional("connections", CommonReaders.count(1, MAXIMUM_SLOTS),
				AgentSettings.Endpoint.DEFAULT_CONNECTIONS);
		int queue = members.optional("queue", CommonReaders.count(0, MAXIMUM_SLOTS),
				AgentSettings.Endpoint.DEFAULT_QUEUE);
		members.reportUnknownMembers();
		checkConnections(members, slots, connections, faults);
		return Optional.of(new AgentSettings.Endpoint(id, service, url, slots, connections, queue));
	}

	static void checkConnections(MemberReader members, int slots, int connections, JsonFaults faults) {
		if (connections < slots) {
			faults.add(members.locate("connections"), connections + " connections",
					"at least the slots, which are " + slots);
		}
	}

	private static Optional<AgentSettings.Worker> worker(LocatedValue value, JsonFaults faults) {
		MemberReader members = MemberReader.of(value, faults);
		String name = members.required("name", CommonReaders.NAME, "");
		PlatformUrl runtime = members.required("runtime", CommonReaders::platformUrl,
				CommonReaders.PLACEHOLDER_PLATFORM_URL);
		Resources capacity = members.required("capacity", CommonReaders.RESOURCES, Resources.NONE);
		Resources reserved = members.required("reservedForService", CommonReaders.RESOURCES, Resources.NONE);
		members.reportUnknownMembers();
		checkReserved(members, capacity, reserved, faults);
		return Optional.of(new AgentSettings.Worker(name, runtime, capacity, reserved));
	}

	static void checkReserved(MemberReader members, Resources capacity, Resources reserved, JsonFaults faults) {
		if (!reserved.fitsInto(capacity)) {
			faults.add(members.locate("reservedForService"), describe(reserved),
					"at most the capacity, which is " + describe(capacity));
		}
	}

	private static String describe(Resources resources) {
		return resources.milliCores() + " milliCores, " + resources.memoryMebibytes() + " memoryMebibytes, "
				+ resources.accelerators() + " accelerators";
	}

	private static Optional<AgentSettings.Times> times(LocatedValue value, JsonFaults faults) {
		AgentSettings.Times defaults = AgentSettings.Times.DEFAULT;
		MemberReader members = MemberReader.of(value, faults);
		DurationReader reader = new DurationReader(members, faults);
		AgentSettings.Times times = new AgentSettings.Times(reader.optional("heartbeat", defaults.heartbeat()),
				reader.optional("startBudget", defaults.startBudget()),
				reader.optional("taskLease", defaults.taskLease()),
				reader.optional("checkpointInterval", defaults.checkpointInterval()),
				reader.optional("drain", defaults.drain()));
		members.reportUnknownMembers();
		reader.requireLonger("startBudget", times.startBudget(), "heartbeat", times.heartbeat());
		reader.requireLonger("taskLease", times.taskLease(), "twice heartbeat", times.heartbeat().multipliedBy(2));
		return Optional.of(times);
	}

}
