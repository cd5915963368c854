package org.crocuspost.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.peer.Peer;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.peer.PeerListener;
import org.crocuspost.store.Backoff;
import org.crocuspost.time.Cancellable;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Timer;
import org.crocuspost.wire.Frame;

/**
 * Keeps an agent connected to its entries and to the scheduler of its failure domain. It
 * learns who they are from its entries; without any it reads the table, less and less
 * often and at times that differ between agents.
 *
 * <p>
 * An address may be used by another process after its listed one has gone. So a
 * connection counts only if the process at its other end is the listed one: same role,
 * name and incarnation. Any other is closed before other parts of the agent hear of it.
 */
public final class AgentConnections implements PeerListener, AgentViewListener {

	private final AgentConnectionSettings settings;

	private final EntryFinder finder;

	private final DirectoryReceiver receiver;

	private final PeerListener listener;

	private final PeerLinks links;

	private final Timer timer;

	private final Backoff backoff;

	private final RandomGenerator random;

	private int searches;

	private Cancellable search = () -> {
	};

	/**
	 * Creates the connections; nothing is dialed yet.
	 * @param settings which connections to keep
	 * @param finder finds entries in the table
	 * @param dialer opens connections, with this object as their listener
	 * @param listener the other parts of the agent; is told of expected peers only
	 * @param clock the clock
	 * @param timer runs searches, which block
	 * @param random the source of jitter
	 */
	public AgentConnections(AgentConnectionSettings settings, EntryFinder finder, Dialer dialer, PeerListener listener,
			Clock clock, Timer timer, RandomGenerator random) {
		this.settings = settings;
		this.finder = finder;
		this.receiver = new DirectoryReceiver(settings.failureDomain(), clock, this);
		this.listener = listener;
		this.links = new PeerLinks(dialer, timer, settings.linger());
		this.timer = timer;
		this.backoff = new Backoff(settings.search(), settings.longestSearch());
		this.random = random;
	}

	/**
	 * Finds entries and connects to them.
	 */
	public synchronized void start() {
		this.search = this.timer.schedule(Duration.ZERO, this::search);
	}

	/**
	 * Closes all connections.
	 */
	public synchronized void stop() {
		this.search.cancel();
		this.links.closeAll();
	}

	private void search() {
		if (!connectedToEntry()) {
			EventLog.info(MembershipEvent.ENTRIES_SOUGHT, Field.of("attempt", this.searches));
			this.finder.find().forEach(this::viewChanged);
		}
		scheduleSearch();
	}

	private synchronized boolean connectedToEntry() {
		boolean connected = this.links.connectedTo(PeerIdentity.Role.ENTRY);
		this.searches = connected ? 0 : this.searches + 1;
		return connected;
	}

	private synchronized void scheduleSearch() {
		Duration delay = this.backoff.delay(Math.max(0, this.searches - 1), this.random);
		this.search = this.timer.schedule(delay, this::search);
	}

	@Override
	public synchronized void viewChanged(AgentView view) {
		// Rows of dead entries stay in the table for a while; each further search
		// chooses others.
		String rankedBy = (this.searches <= 1) ? this.settings.agent() : this.settings.agent() + '#' + this.searches;
		EntrySelection selection = new EntrySelection(rankedBy, this.settings.entryConnections());
		List<Member> wanted = new ArrayList<>(selection.select(view.entries()));
		view.shardHolder().ifPresent((holder) -> wanted.add(holder.scheduler()));
		this.links.want(wanted);
	}

	@Override
	public void connected(Peer peer) {
		if (!this.links.accept(peer)) {
			EventLog.warn(MembershipEvent.PEER_UNEXPECTED, Field.of("role", peer.identity().role()),
					Field.of("name", peer.identity().name()));
			peer.close();
			return;
		}
		if (peer.identity().role() == PeerIdentity.Role.ENTRY) {
			resetSearches();
		}
		this.listener.connected(peer);
	}

	private synchronized void resetSearches() {
		this.searches = 0;
	}

	@Override
	public void received(Peer peer, Frame frame) {
		if (this.links.accepted(peer)) {
			this.receiver.received(peer, frame);
			this.listener.received(peer, frame);
		}
	}

	@Override
	public void disconnected(Peer peer) {
		if (this.links.remove(peer)) {
			this.listener.disconnected(peer);
		}
	}

}
