/**
 * Turns `roarr` on. It reads this variable once, when it is loaded, and without
 * it every line is dropped; so this module must be imported before it.
 */

process.env['ROARR_LOG'] ??= 'true';
