/**
 * Enables `roarr`, which reads this variable once when it is loaded and drops
 * every line without it. This module must therefore be imported first.
 */

process.env['ROARR_LOG'] ??= 'true';
