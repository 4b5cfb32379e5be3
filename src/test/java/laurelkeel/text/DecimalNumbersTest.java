package laurelkeel.text;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

/** Guards against text being served as a number that is one only by the notation of Java's literals. */
class DecimalNumbersTest {
    private static final String NO_NUMBERS =
            "; ;-;.;e5;1.5d;1.5D;2f;2F;0x1p1;0x10;+4;NaN;Infinity;4 ; 4;1_000;1,5;\u0664;1e;--1";

    @Test
    void otherNotationsAreRefused() {
        for (String text : NO_NUMBERS.split(";", -1)) {
            assertThrows(NumberFormatException.class, () -> DecimalNumbers.parse(text), text);
            assertThrows(NumberFormatException.class, () -> DecimalNumbers.parseLong(text), text);
            assertThrows(NumberFormatException.class, () -> DecimalNumbers.parseInt(text), text);
        }
        assertThrows(NumberFormatException.class, () -> DecimalNumbers.parse("1e999"));
        assertThrows(NumberFormatException.class, () -> DecimalNumbers.parseLong("4.0"));
        assertThrows(NumberFormatException.class, () -> DecimalNumbers.parseInt("2147483648"));
    }

    @Test
    void decimalNotationIsParsed() {
        assertEquals(0.48, DecimalNumbers.parse("0.480"));
        assertEquals(-2.5, DecimalNumbers.parse("-2.5"));
        assertEquals(0.5, DecimalNumbers.parse(".5"));
        assertEquals(5, DecimalNumbers.parse("5."));
        assertEquals(1.5e-7, DecimalNumbers.parse("1.5E-7"));
        assertEquals(-4, DecimalNumbers.parseLong("-4"));
        assertEquals(7, DecimalNumbers.parseInt("007"));
    }
}
