package martenlatch.fleet.judge;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import martenlatch.fleet.history.Event;
import martenlatch.fleet.history.Event.What;
import martenlatch.fleet.scenario.Fault;
import martenlatch.fleet.scenario.Scenario;

/** The history of a run, grouped by request. All checkers read it. */
public final class RunRecord {

    /** One request with all events that clients, sidecars and endpoints recorded of it. */
    public static final class RequestRecord {
        private final String id;
        private String sidecar = "";
        private String kind = "";
        private boolean unsafe;
        private double askedAtMs = Double.NaN;
        private double deadlineAtMs = Double.NaN;
        private final List<Event> ends = new ArrayList<>();
        private final List<Event> attempts = new ArrayList<>();
        private final List<Event> executions = new ArrayList<>();
        private final List<Event> turnedAway = new ArrayList<>();

        RequestRecord(String id) {
            this.id = id;
        }

        public String id() {
            return id;
        }

        /** Returns the sidecar that the client sent the request to. */
        public String sidecar() {
            return sidecar;
        }

        /** Returns the request class. */
        public String kind() {
            return kind;
        }

        /** Returns whether running the request twice would take effect twice. */
        public boolean isUnsafe() {
            return unsafe;
        }

        /** Returns when the client sent the request; NaN if no client recorded it. */
        public double askedAtMs() {
            return askedAtMs;
        }

        /** Returns the deadline of the request, since the start of the run. */
        public double deadlineAtMs() {
            return deadlineAtMs;
        }

        /** Returns the events that ended the request for its client; more than one is a violation. */
        public List<Event> ends() {
            return ends;
        }

        /** Returns the attempts that sidecars sent to endpoints. */
        public List<Event> attempts() {
            return attempts;
        }

        /** Returns the events of endpoints that started to run the request. */
        public List<Event> executions() {
            return executions;
        }

        /** Returns the events of endpoints that rejected the request. */
        public List<Event> turnedAway() {
            return turnedAway;
        }

        /** Returns how the request ended for its client, or an empty string if it has not ended. */
        public String outcome() {
            return ends.isEmpty() ? "" : ends.get(0).detail();
        }

        /** Returns when the request ended for its client; infinite if it has not ended. */
        public double endedAtMs() {
            return ends.isEmpty() ? Double.POSITIVE_INFINITY : ends.get(0).atMs();
        }
    }

    /** A period of time in which a condition held. */
    public record Span(double fromMs, double toMs) {
        /** Returns whether the given period overlaps this one. */
        boolean overlaps(double startMs, double endMs) {
            return fromMs <= endMs && startMs <= toMs;
        }
    }

    private final Scenario scenario;
    private final List<Event> events;
    private final long missing;
    private final Map<String, RequestRecord> requests = new LinkedHashMap<>();
    /** The periods in which each sidecar could not be expected to answer: paused, slowed down, dead or starting. */
    private final Map<String, List<Span>> unavailable = new LinkedHashMap<>();

    /** The periods in which each sidecar was draining after it was asked to exit. */
    private final Map<String, List<Span>> draining = new LinkedHashMap<>();

    /**
     * Groups the events of a finished run.
     *
     * @param missing number of events that were dropped because the history was full
     */
    public RunRecord(Scenario scenario, List<Event> history, long missing) {
        this.scenario = scenario;
        this.missing = missing;
        events =
                history.stream().sorted(Comparator.comparingDouble(Event::atMs)).toList();
        Map<String, Double> unavailableSinceMs = new LinkedHashMap<>();
        Map<String, Double> drainingSinceMs = new LinkedHashMap<>();
        for (Event event : events) {
            switch (event.what()) {
                case ASKED -> {
                    RequestRecord request = requestOf(event.id());
                    String[] words = event.detail().split(" ");
                    request.sidecar = event.whom();
                    request.kind = words[0];
                    request.unsafe = words[1].equals("UNSAFE");
                    request.askedAtMs = event.atMs();
                    request.deadlineAtMs = event.atMs() + Double.parseDouble(words[2]);
                }
                case ENDED -> requestOf(event.id()).ends.add(event);
                case SENT -> requestOf(event.id()).attempts.add(event);
                case RAN -> requestOf(event.id()).executions.add(event);
                case TURNED_AWAY -> requestOf(event.id()).turnedAway.add(event);
                case PROCESS -> {
                    if (event.detail().equals("told to end")) {
                        drainingSinceMs.put(event.who(), event.atMs());
                    } else if (event.detail().startsWith("ended") && drainingSinceMs.containsKey(event.who())) {
                        draining.computeIfAbsent(event.who(), k -> new ArrayList<>())
                                .add(new Span(drainingSinceMs.remove(event.who()), event.atMs()));
                    }
                    boolean isBack =
                            event.detail().equals("resumed") || event.detail().equals("serves");
                    if (isBack && unavailableSinceMs.containsKey(event.who())) {
                        unavailable
                                .computeIfAbsent(event.who(), k -> new ArrayList<>())
                                .add(new Span(unavailableSinceMs.remove(event.who()), event.atMs()));
                    } else if (!isBack
                            && !event.detail().equals("reloads")
                            && !event.detail().equals("told to end")) {
                        unavailableSinceMs.putIfAbsent(event.who(), event.atMs());
                    }
                }
                default -> {}
            }
        }
        unavailableSinceMs.forEach((who, sinceMs) -> unavailable
                .computeIfAbsent(who, k -> new ArrayList<>())
                .add(new Span(sinceMs, Double.POSITIVE_INFINITY)));
    }

    private RequestRecord requestOf(String id) {
        return requests.computeIfAbsent(id, RequestRecord::new);
    }

    public Scenario scenario() {
        return scenario;
    }

    /** Returns all events, ordered by time. */
    public List<Event> events() {
        return events;
    }

    /** Returns how many events were dropped because the history was full. */
    public long missing() {
        return missing;
    }

    /** Returns all requests that appear in any event, in the order of their first events. */
    public Iterable<RequestRecord> requests() {
        return requests.values();
    }

    /** Returns the events of one kind, ordered by time. */
    public List<Event> all(What what) {
        return events.stream().filter(event -> event.what() == what).toList();
    }

    /** Returns whether a sidecar was paused, dead or not yet serving again at any time in this period. */
    public boolean wasUnavailable(String sidecar, double fromMs, double toMs) {
        return unavailable.getOrDefault(sidecar, List.of()).stream().anyMatch(span -> span.overlaps(fromMs, toMs));
    }

    /** Returns whether a sidecar that had been asked to exit was still running at any time in this period. */
    public boolean wasDraining(String sidecar, double fromMs, double toMs) {
        return draining.getOrDefault(sidecar, List.of()).stream().anyMatch(span -> span.overlaps(fromMs, toMs));
    }

    /** Returns when a sidecar that is unavailable at this time is available again; this time if it is available. */
    public double availableAgainAtMs(String sidecar, double atMs) {
        return unavailable.getOrDefault(sidecar, List.of()).stream()
                .filter(span -> span.overlaps(atMs, atMs))
                .mapToDouble(Span::toMs)
                .max()
                .orElse(atMs);
    }

    /**
     * Returns by when data has arrived that is sent at this time over the link between these two: at the end of the
     * faults on the link, or at this time if there are none. Infinite if a fault loses packets: TCP doubles the
     * delay before each retransmission, so the next one may come long after the end of the fault.
     */
    public double arrivesByMs(String one, String other, double atMs) {
        return scenario.faults().stream()
                .filter(fault -> fault.isOn(one, other) && fault.atMs() <= atMs && atMs <= fault.endMs())
                .mapToDouble(fault -> fault.onwards().loss() + fault.backwards().loss() > 0
                        ? Double.POSITIVE_INFINITY
                        : fault.endMs())
                .max()
                .orElse(atMs);
    }

    /**
     * Returns whether a fault was on the link between these two at any time in this period. A fault that resets
     * connections counts at its start only.
     */
    public boolean wasLinkFaulted(String one, String other, double fromMs, double toMs) {
        return scenario.faults().stream()
                .anyMatch(fault -> fault.isOn(one, other)
                        && new Span(fault.atMs(), fault.what() == Fault.What.BREAK ? fault.atMs() : fault.endMs())
                                .overlaps(fromMs, toMs));
    }
}
