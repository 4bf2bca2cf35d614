package martenlatch.sidecar;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import martenlatch.sidecar.WaitingClient.Conduct;
import martenlatch.sidecar.WaitingClient.End;
import martenlatch.sidecar.WaitingClient.Observation;

/**
 * Judges what a client saw of an answer:
 *
 * <ul>
 *   <li>an answer that an endpoint writes whole before its client's time is passed on whole;
 *   <li>an answer ends, whole or visibly cut, half a second after its client's time at the latest;
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
    /** The slack of the time that is passed on to an endpoint. */
    private static final int DEADLINE_SLACK_MS = 150;

    private final TableEndpoints endpoints;
    /** How long the process was held up when the time of the requests was up. */
    private final int heldUpMs;

    AnswerJudge(TableEndpoints endpoints, int heldUpMs) {
        this.endpoints = endpoints;
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
            judgeOther(conduct, seen.get(1), violations);
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
        if (!leavesEarly && answersInTime && seen.endMs() > timeMs + MAX_LATE_MS) {
            violations.add(describe(conduct, seen) + "the answer ends too late");
        }
        boolean sound = seen.request().answer().isWholeBefore(SOUND_BEFORE_TIME_MS);
        if (sound && conduct != Conduct.HALF_CLOSES && !isServed(seen)) {
            violations.add(describe(conduct, seen) + "a sound answer was not passed on");
        }
    }

    /** A request that was sent with the first one was read with it; one that was sent later may be sent again. */
    private void judgeOther(Conduct conduct, Observation seen, List<String> violations) {
        boolean mayBeSentAgain = conduct == Conduct.LATER_REQUEST_BEHIND
                && endpoints.arrival(seen.request().id()) == null;
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
        byte[] expected = seen.request().answer().body(seen.request().id());
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
