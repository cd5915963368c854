package org.crocuspost.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.crocuspost.json.JsonFaults;
import org.crocuspost.json.LocatedValue;
import org.crocuspost.json.LocatedValue.ArrayValue;
import org.crocuspost.json.MemberReader;
import org.crocuspost.json.ValueReaders;

/**
 * Readers of the settings of entries, schedulers and the operators' command line.
 */
final class ProcessReaders {

	private static final int LARGEST_BODY = 64 * 1024 * 1024;

	private static final int LARGEST_NOTE = 16 * 1024 * 1024;

	private static final int MOST_THREADS = 256;

	private ProcessReaders() {
	}

	static Optional<EntrySettings> entry(LocatedValue value, JsonFaults faults) {
		MemberReader members = MemberReader.of(value, faults);
		String name = members.required("name", CommonReaders.NAME, "");
		String domain = members.required("failureDomain", CommonReaders.NAME, "");
		List<String> domains = members.required("failureDomains", CommonReaders.NAMES, List.of());
		EntrySettings.Addresses addresses = new EntrySettings.Addresses(address(members, "callers"),
				address(members, "operators"), address(members, "peers"), address(members, "monitoring"));
		Secret secret = members.required("secret", CommonReaders.SECRET, CommonReaders.NO_SECRET);
		Secret token = members.required("operatorToken", CommonReaders.SECRET, CommonReaders.NO_SECRET);
		PlatformSettings platform = members.required("platform", CommonReaders.PLATFORM, CommonReaders.NO_PLATFORM);
		EntrySettings.Limits limits = members.optional("limits", ProcessReaders::entryLimits,
				EntrySettings.Limits.DEFAULT);
		EntrySettings.Times times = members.optional("times", ProcessReaders::entryTimes, EntrySettings.Times.DEFAULT);
		members.reportUnknownMembers();
		checkDomain(members, domain, domains, faults);
		return Optional.of(new EntrySettings(name, domain, domains, addresses, secret, token, platform, limits, times));
	}

	private static Optional<EntrySettings.Limits> entryLimits(LocatedValue value, JsonFaults faults) {
		EntrySettings.Limits defaults = EntrySettings.Limits.DEFAULT;
		MemberReader members = MemberReader.of(value, faults);
		EntrySettings.Limits limits = new EntrySettings.Limits(
				members.optional("maximumBodyBytes", CommonReaders.count(0, LARGEST_BODY), defaults.maximumBodyBytes()),
				members.optional("maximumNoteBytes", CommonReaders.count(1, LARGEST_NOTE), defaults.maximumNoteBytes()),
				members.optional("threads", CommonReaders.count(1, MOST_THREADS), defaults.threads()));
		members.reportUnknownMembers();
		return Optional.of(limits);
	}

	private static Optional<EntrySettings.Times> entryTimes(LocatedValue value, JsonFaults faults) {
		EntrySettings.Times defaults = EntrySettings.Times.DEFAULT;
		MemberReader members = MemberReader.of(value, faults);
		TimeReader reader = new TimeReader(members, faults);
		EntrySettings.Times times = new EntrySettings.Times(reader.optional("storePoll", defaults.storePoll()),
				reader.optional("memberLease", defaults.memberLease()),
				reader.optional("maximumTimeout", defaults.maximumTimeout()),
				reader.optional("idleTimeout", defaults.idleTimeout()), reader.optional("drain", defaults.drain()));
		members.reportUnknownMembers();
		reader.requireLonger("memberLease", times.memberLease(), "twice storePoll", times.storePoll().multipliedBy(2));
		return Optional.of(times);
	}

	static Optional<SchedulerSettings> scheduler(LocatedValue value, JsonFaults faults) {
		MemberReader members = MemberReader.of(value, faults);
		String name = members.required("name", CommonReaders.NAME, "");
		String domain = members.required("failureDomain", CommonReaders.NAME, "");
		List<String> domains = members.required("failureDomains", CommonReaders.NAMES, List.of());
		SchedulerSettings.Addresses addresses = new SchedulerSettings.Addresses(address(members, "peers"),
				address(members, "monitoring"));
		Secret secret = members.required("secret", CommonReaders.SECRET, CommonReaders.NO_SECRET);
		PlatformSettings platform = members.required("platform", CommonReaders.PLATFORM, CommonReaders.NO_PLATFORM);
		SchedulerSettings.Times times = members.optional("times", ProcessReaders::schedulerTimes,
				SchedulerSettings.Times.DEFAULT);
		members.reportUnknownMembers();
		checkDomain(members, domain, domains, faults);
		return Optional.of(new SchedulerSettings(name, domain, domains, addresses, secret, platform, times));
	}

	private static Optional<SchedulerSettings.Times> schedulerTimes(LocatedValue value, JsonFaults faults) {
		SchedulerSettings.Times defaults = SchedulerSettings.Times.DEFAULT;
		MemberReader members = MemberReader.of(value, faults);
		TimeReader reader = new TimeReader(members, faults);
		SchedulerSettings.Times times = new SchedulerSettings.Times(reader.optional("storePoll", defaults.storePoll()),
				reader.optional("memberLease", defaults.memberLease()),
				reader.optional("shardLease", defaults.shardLease()),
				reader.optional("shardRenewal", defaults.shardRenewal()),
				reader.optional("driftMargin", defaults.driftMargin()),
				reader.optional("taskLease", defaults.taskLease()), reader.optional("drain", defaults.drain()));
		members.reportUnknownMembers();
		reader.requireLonger("memberLease", times.memberLease(), "twice storePoll", times.storePoll().multipliedBy(2));
		reader.requireLonger("shardLease", times.shardLease(), "twice shardRenewal",
				times.shardRenewal().multipliedBy(2));
		return Optional.of(times);
	}

	static Optional<OperatorSettings> operator(LocatedValue value, JsonFaults faults) {
		MemberReader members = MemberReader.of(value, faults);
		List<java.net.URI> entries = members.required("entries", ValueReaders.list(CommonReaders.URL), List.of());
		Secret token = members.required("token", CommonReaders.SECRET, CommonReaders.NO_SECRET);
		Duration timeout = members.optional("timeout", CommonReaders.duration(), OperatorSettings.DEFAULT_TIMEOUT);
		members.reportUnknownMembers();
		if (members.locate("entries") instanceof ArrayValue array && array.elements().isEmpty()) {
			faults.add(members.locate("entries"), "no address", "at least one address");
		}
		return Optional.of(new OperatorSettings(entries, token, timeout));
	}

	private static InetSocketAddress address(MemberReader members, String name) {
		return members.required(name, CommonReaders.ADDRESS, CommonReaders.NO_ADDRESS);
	}

	private static void checkDomain(MemberReader members, String domain, List<String> domains, JsonFaults faults) {
		if (!domain.isEmpty() && !domains.isEmpty() && !domains.contains(domain)) {
			faults.add(members.locate("failureDomain"), "one of " + String.join(", ", domains));
		}
	}

}
