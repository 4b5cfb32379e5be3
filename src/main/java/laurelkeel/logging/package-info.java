/** What is logged reaches standard error without ever holding up who logs it. */
package laurelkeel.logging;
