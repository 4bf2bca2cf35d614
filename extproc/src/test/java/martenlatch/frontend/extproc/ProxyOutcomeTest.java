package martenlatch.frontend.extproc;

import static org.junit.jupiter.api.Assertions.assertEquals;

import martenlatch.policy.api.AttemptOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks the outcome for each combination of status, header and response flags. */
class ProxyOutcomeTest {

    @ParameterizedTest
    @CsvSource({
        "200,false,-,OK",
        "201,false,-,FAILED",
        "500,false,-,FAILED",
        "503,false,-,FAILED",
        "503,true,-,REJECTED_QUEUE_FULL",
        "504,true,-,REJECTED_QUEUE_FULL",
        "500,true,-,FAILED",
        "404,false,-,NOT_EXECUTED",
        "429,false,-,FAILED",
        "429,true,-,FAILED",
        "0,false,-,FAILED",
        "302,false,-,FAILED",
        "503,false,UF,CONNECT_ERROR",
        "503,false,UO,CONNECT_ERROR",
        "503,false,UH,CONNECT_ERROR",
        "404,false,NR,CONNECT_ERROR",
        "503,false,NC,CONNECT_ERROR",
        "503,false,'UF,UO',CONNECT_ERROR",
        "503,false,UC,RESET",
        "503,false,LR,RESET",
        "503,false,'UF,UC',RESET",
        "503,false,'UF,URX',RESET",
        "504,false,UT,TIMED_OUT",
        "504,false,DT,TIMED_OUT",
        "504,false,'UT,UF',RESET",
        "0,false,DC,CANCELED",
        "503,true,UC,RESET",
        "503,false,something new,RESET"
    })
    void outcomeFromFlagText(int status, boolean notExecuted, String flags, AttemptOutcome expected) {
        assertEquals(expected, ProxyOutcome.of(status, notExecuted, ProxyOutcome.flags(flags)));
    }

    @Test
    void outcomeFromFlagBits() {
        assertEquals(AttemptOutcome.CONNECT_ERROR, ProxyOutcome.of(503, false, ProxyOutcome.flags(1 << 5)));
        assertEquals(AttemptOutcome.TIMED_OUT, ProxyOutcome.of(504, false, ProxyOutcome.flags(1 << 2)));
        assertEquals(AttemptOutcome.RESET, ProxyOutcome.of(503, false, ProxyOutcome.flags((1 << 5) + (1 << 6))));
        assertEquals(AttemptOutcome.OK, ProxyOutcome.of(200, false, ProxyOutcome.flags(0)));
        for (double invalid : new double[] {-1, 0.5, 1e300, Double.NaN, Double.POSITIVE_INFINITY}) {
            assertEquals(AttemptOutcome.RESET, ProxyOutcome.of(503, false, ProxyOutcome.flags(invalid)));
        }
    }
}
