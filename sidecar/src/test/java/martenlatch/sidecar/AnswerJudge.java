package martenlatch.sidecar;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import martenlatch.sidecar.WaitingClient.Conduct;
import martenlatch.sidecar.WaitingClient.End;
import martenlatch.sidecar.WaitingClient.Observation;
import martenlatch.sidecar.WaitingClient.Request;

/**
 * Judges what a client saw of an answer:
 *
 * <ul>
 *   <li>an answer that an endpoint writes whole before its client's time is passed on whole, and so is one that goes on
 *       at a sound rate, however long after that time;
 *   <li>any other answer ends, whole or visibly cut, half a second after its client's time at the latest; or, if it had
 *       gone on at a sound rate, as soon as it has been silent for longer than a sound one may be;
 *   <li>the client has its final answer, or the beginning of one that cannot be finished, in its time;
 *   <li>a request that was read behind another one on its connection has its whole answer.
 * </ul>
 */
final class AnswerJudge {

    /** Each time limit is longer by this. */
    private static final int TOLERANCE_MS = 50;
    /** An answer that is later than this after its time is lost. */
    private static final int MAX_LATE_MS = 500;
    /** An answer that is whole this long before its time has to be passed on. */
    private static final int SOUND_BEFORE_TIME_MS = 100;
    /** How long a sound answer may be silent before its time is up; the users' answers pause for 0.8 s. */
    private static final int MAX_PAUSE_BEFORE_TIME_MS = 1000;
    /** How long a sound answer may be silent that has gone on beyond its time. */
    private static final int MAX_PAUSE_AFTER_TIME_MS = 2000;
    /** The slack of the time that is passed on to an endpoint. */
    private static final int DEADLINE_SLACK_MS = 150;

    private final TableEndpoints endpoints;
    /** How long the process was held up when the time of the requests was up. */
    private final int heldUpMs;
    /** The time from which an answer may be cut, as the process is about to end, on {@link System#nanoTime}. */
    private final LongSupplier cutFromNanos;

    AnswerJudge(TableEndpoints endpoints, int heldUpMs, LongSupplier cutFromNanos) {
        this.endpoints = endpoints;
        this.cutFromNanos = cutFromNanos;
        this.heldUpMs = heldUpMs;
    }

    /** Returns whether the request was forwarded; one that is rejected at once says nothing about answers. */
    boolean wasForwarded(Conduct conduct, List<Observation> seen) {
        return conduct == Conduct.HALF_CLOSES
                || endpoints.arrival(seen.get(0).request().id()) != null;
    }

    /** Returns what is wrong with the answers that a client saw. */
    List<String> judge(Conduct conduct, List<Observation> seen) {
        List<String> violations = new ArrayList<>();
        judgeRow(conduct, seen.get(0), violations);
        if (seen.size() > 1) {
            judgeOther(conduct, seen.get(0), seen.get(1), violations);
        }
        seen.forEach(each -> judgeBody(each, violations));
        seen.forEach(each -> judgePassedOnDeadline(each, violations));
        return violations;
    }

    private void judgeRow(Conduct conduct, Observation seen, List<String> violations) {
        int timeMs = seen.request().timeMs();
        boolean answersInTime = conduct != Conduct.READS_LATE && conduct != Conduct.HALF_CLOSES;
        boolean leavesEarly = conduct == Conduct.LEAVES_AT_TIME || conduct == Conduct.LEAVES_60_MS_AFTER;
        double allowedMs = timeMs + (conduct == Conduct.LEAVES_AT_TIME ? 0 : TOLERANCE_MS) + heldUpMs;
        if (answersInTime && !(leavesEarly && heldUpMs > 0) && !(seen.firstByteMs() <= allowedMs)) {
            violations.add(describe(conduct, seen) + "no answer in time");
        }
        if (!leavesEarly && seen.end() == End.OPEN) {
            violations.add(describe(conduct, seen) + "the answer does not end");
        }
        if (!leavesEarly && answersInTime && !(seen.endMs() <= latestEndMs(seen.request()) + heldUpMs)) {
            violations.add(describe(conduct, seen) + "the answer ends too late");
        }
        boolean soundInTime = seen.request().answer().isWholeBefore(SOUND_BEFORE_TIME_MS);
        boolean goesOnSoundly = seen.request().answer().isSoundFlow()
                && !leavesEarly
                && !mayFailForOthers(conduct, seen)
                && !isCutByEndOfProcess(seen);
        if ((soundInTime || goesOnSoundly) && conduct != Conduct.HALF_CLOSES && !isServed(seen)) {
            violations.add(describe(conduct, seen) + "a sound answer was not passed on");
        }
    }

    private boolean isCutByEndOfProcess(Observation seen) {
        long wholeNanos = seen.sentNanos()
                + TimeUnit.MILLISECONDS.toNanos((long) seen.request().lastPartMs() + TOLERANCE_MS);
        return seen.end() == End.CUT && wholeNanos - cutFromNanos.getAsLong() > 0;
    }

    /** Returns when an answer has to have ended, after its request was sent. */
    private static double latestEndMs(Request request) {
        double latestMs = request.timeMs() + MAX_LATE_MS;
        double lastPartMs = request.lastPartMs();
        if (Double.isNaN(lastPartMs)) {
            return latestMs;
        }
        int maxPauseMs = lastPartMs < request.timeMs() ? MAX_PAUSE_BEFORE_TIME_MS : MAX_PAUSE_AFTER_TIME_MS;
        return Math.max(latestMs, lastPartMs + maxPauseMs + TOLERANCE_MS);
    }

    /** Returns whether an answer that goes on after its time may fail whole in it, as another request waits behind. */
    private static boolean mayFailForOthers(Conduct conduct, Observation seen) {
        return switch (conduct) {
            case REQUEST_BEHIND, LONGER_REQUEST_BEHIND, SHORTER_REQUEST_BEHIND, LATER_REQUEST_BEHIND ->
                seen.end() == End.WHOLE && seen.status() >= 500;
            default -> false;
        };
    }

    /** A request that was sent with the first one was read with it; one that was sent later may be sent again. */
    private void judgeOther(Conduct conduct, Observation first, Observation seen, List<String> violations) {
        boolean mayBeSentAgain = conduct == Conduct.LATER_REQUEST_BEHIND
                && endpoints.arrival(seen.request().id()) == null;
        if (first.request().answer().isSoundFlow() && isServed(first)) {
            // It can be answered only once the answer before it is whole, however late that is.
            if (seen.end() != End.WHOLE
                    || seen.endMs() - first.endMs() > seen.request().timeMs()) {
                violations.add(describe(conduct, seen) + "the other request has no whole answer");
            }
            return;
        }
        boolean waitsForLonger = conduct == Conduct.SHORTER_REQUEST_BEHIND;
        int allowedMs = seen.request().timeMs() + heldUpMs + (waitsForLonger ? MAX_LATE_MS : TOLERANCE_MS);
        if (seen.end() != End.WHOLE ? !mayBeSentAgain : seen.endMs() > allowedMs) {
            violations.add(describe(conduct, seen) + "the other request has no whole answer in time");
        }
    }

    private static boolean isServed(Observation seen) {
        return seen.end() == End.WHOLE && seen.status() == 200;
    }

    private void judgeBody(Observation seen, List<String> violations) {
        byte[] expected =
                seen.request().answer().body(seen.request().id(), seen.request().timeMs());
        if (isServed(seen) && !seen.body().equals(new String(expected, StandardCharsets.ISO_8859_1))) {
            violations.add(seen.request() + ": " + seen.body().length() + " bytes look whole");
        }
        boolean rejected = seen.end() == End.WHOLE && (seen.status() == 503 || seen.status() == 429);
        boolean executed = endpoints.arrival(seen.request().id()) != null;
        if (rejected && executed && seen.request().requestClass().equals("order")) {
            violations.add(seen.request() + ": rejected though executed");
        }
    }

    private void judgePassedOnDeadline(Observation seen, List<String> violations) {
        TableEndpoints.Arrival arrival = endpoints.arrival(seen.request().id());
        if (arrival == null) {
            return;
        }
        double leftMs = seen.request().timeMs() - (arrival.nanos() - seen.sentNanos()) / 1e6;
        if (arrival.deadlineMs() > leftMs + DEADLINE_SLACK_MS) {
            violations.add(
                    seen.request() + ": the endpoint is told " + arrival.deadlineMs() + " ms, left are " + leftMs);
        }
    }

    private static String describe(Conduct conduct, Observation seen) {
        return String.format(
                Locale.ROOT,
                "%s %s: first byte %.0f ms, %s after %.0f ms, status %d, %d bytes: ",
                conduct,
                seen.request(),
                seen.firstByteMs(),
                seen.end(),
                seen.endMs(),
                seen.status(),
                seen.body().length());
    }
}
