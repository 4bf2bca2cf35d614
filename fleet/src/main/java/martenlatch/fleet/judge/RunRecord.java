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

/** A run's history, put together by request: what all judges read. */
public final class RunRecord {

    /** One request with its id, from all sides. */
    public static final class RequestRecord {
        private final String id;
        private String sidecar = "";
        private String kind = "";
        private boolean unsafe;
        private double askedAt = Double.NaN;
        private double deadlineAt = Double.NaN;
        private final List<Event> ends = new ArrayList<>();
        private final List<Event> sent = new ArrayList<>();
        private final List<Event> ran = new ArrayList<>();
        private final List<Event> turnedAway = new ArrayList<>();

        RequestRecord(String id) {
            this.id = id;
        }

        public String id() {
            return id;
        }

        /** Whom its client asked. */
        public String sidecar() {
            return sidecar;
        }

        public String kind() {
            return kind;
        }

        public boolean isUnsafe() {
            return unsafe;
        }

        /** NaN where no client's side of it was seen. */
        public double askedAt() {
            return askedAt;
        }

        public double deadlineAt() {
            return deadlineAt;
        }

        public List<Event> ends() {
            return ends;
        }

        public List<Event> sent() {
            return sent;
        }

        public List<Event> ran() {
            return ran;
        }

        public List<Event> turnedAway() {
            return turnedAway;
        }

        /** How it ended for its client, or empty while it has not. */
        public String end() {
            return ends.isEmpty() ? "" : ends.get(0).detail();
        }

        /** When it ended for its client; infinite while it has not. */
        public double endedAt() {
            return ends.isEmpty() ? Double.POSITIVE_INFINITY : ends.get(0).atMs();
        }
    }

    /** A time in which something held. */
    public record Span(double from, double to) {
        /** Whether any of it lies in this one. */
        boolean touches(double begins, double ends) {
            return from <= ends && begins <= to;
        }
    }

    private final Scenario scenario;
    private final List<Event> events;
    private final long missing;
    private final Map<String, RequestRecord> requests = new LinkedHashMap<>();
    /** When each sidecar could not be expected to answer: paused, crawling, dead, or starting. */
    private final Map<String, List<Span>> away = new LinkedHashMap<>();

    private final Map<String, List<Span>> leaving = new LinkedHashMap<>();

    /**
     * Of a run that is over.
     *
     * @param missing events that there was no room for
     */
    public RunRecord(Scenario scenario, List<Event> history, long missing) {
        this.scenario = scenario;
        this.missing = missing;
        events =
                history.stream().sorted(Comparator.comparingDouble(Event::atMs)).toList();
        Map<String, Double> awaySince = new LinkedHashMap<>();
        Map<String, Double> leavingSince = new LinkedHashMap<>();
        for (Event event : events) {
            switch (event.what()) {
                case ASKED -> {
                    RequestRecord of = of(event.id());
                    String[] words = event.detail().split(" ");
                    of.sidecar = event.whom();
                    of.kind = words[0];
                    of.unsafe = words[1].equals("UNSAFE");
                    of.askedAt = event.atMs();
                    of.deadlineAt = event.atMs() + Double.parseDouble(words[2]);
                }
                case ENDED -> of(event.id()).ends.add(event);
                case SENT -> of(event.id()).sent.add(event);
                case RAN -> of(event.id()).ran.add(event);
                case TURNED_AWAY -> of(event.id()).turnedAway.add(event);
                case PROCESS -> {
                    if (event.detail().equals("told to end")) {
                        leavingSince.put(event.who(), event.atMs());
                    } else if (event.detail().startsWith("ended") && leavingSince.containsKey(event.who())) {
                        leaving.computeIfAbsent(event.who(), k -> new ArrayList<>())
                                .add(new Span(leavingSince.remove(event.who()), event.atMs()));
                    }
                    boolean back =
                            event.detail().equals("resumed") || event.detail().equals("serves");
                    if (back && awaySince.containsKey(event.who())) {
                        away.computeIfAbsent(event.who(), k -> new ArrayList<>())
                                .add(new Span(awaySince.remove(event.who()), event.atMs()));
                    } else if (!back
                            && !event.detail().equals("reloads")
                            && !event.detail().equals("told to end")) {
                        awaySince.putIfAbsent(event.who(), event.atMs());
                    }
                }
                default -> {}
            }
        }
        awaySince.forEach((who, since) ->
                away.computeIfAbsent(who, k -> new ArrayList<>()).add(new Span(since, Double.POSITIVE_INFINITY)));
    }

    private RequestRecord of(String id) {
        return requests.computeIfAbsent(id, RequestRecord::new);
    }

    public Scenario scenario() {
        return scenario;
    }

    /** All events, by time. */
    public List<Event> events() {
        return events;
    }

    /** How many events there was no room for. */
    public long missing() {
        return missing;
    }

    /** All requests that any side has seen, by the time of the first sight. */
    public Iterable<RequestRecord> requests() {
        return requests.values();
    }

    /** Events of one kind, by time. */
    public List<Event> all(What what) {
        return events.stream().filter(event -> event.what() == what).toList();
    }

    /** Whether a sidecar was paused, dead or not yet back at any time of these. */
    public boolean wasAway(String sidecar, double from, double to) {
        return away.getOrDefault(sidecar, List.of()).stream().anyMatch(span -> span.touches(from, to));
    }

    /** Whether a sidecar that had been asked to end was still there at any time of these. */
    public boolean wasLeaving(String sidecar, double from, double to) {
        return leaving.getOrDefault(sidecar, List.of()).stream().anyMatch(span -> span.touches(from, to));
    }

    /** The end of the time for which a sidecar was away at this one; this one if it was not. */
    public double backAt(String sidecar, double at) {
        return away.getOrDefault(sidecar, List.of()).stream()
                .filter(span -> span.touches(at, at))
                .mapToDouble(Span::to)
                .max()
                .orElse(at);
    }

    /**
     * When what is sent at this time over the link between these two has surely arrived: at the end of what
     * disturbs the link then. Infinite where that loses: TCP's next try may lie long after the fault's end,
     * as the pause before each is twice the last.
     */
    public double arrivesBy(String one, String other, double at) {
        return scenario.faults().stream()
                .filter(fault -> fault.isOn(one, other) && fault.atMs() <= at && at <= fault.endMs())
                .mapToDouble(fault -> fault.onwards().loss() + fault.backwards().loss() > 0
                        ? Double.POSITIVE_INFINITY
                        : fault.endMs())
                .max()
                .orElse(at);
    }

    /** Whether a fault was on the link between these two at any time of these, its after-effects included. */
    public boolean wasDisturbed(String one, String other, double from, double to) {
        return scenario.faults().stream()
                .anyMatch(fault -> fault.isOn(one, other)
                        && new Span(fault.atMs(), fault.what() == Fault.What.BREAK ? fault.atMs() : fault.endMs())
                                .touches(from, to));
    }
}
